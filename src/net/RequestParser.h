#ifndef HEMLOCKHAVEN_SRC_NET_REQUESTPARSER_H
#define HEMLOCKHAVEN_SRC_NET_REQUESTPARSER_H

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace hemlockhaven::Detail {

// The standard library and Beast prescribe names of members.
// NOLINTBEGIN(readability-identifier-naming)

//! Counts what a message's fields hold: small ones take many times the bytes
//! that they have in the header.
template<class T>
class CountingAllocator
{
public:
  using value_type = T;

  explicit CountingAllocator(std::size_t& aBytes)
    : bytes_(&aBytes)
  {
  }
  template<class U>
  CountingAllocator(const CountingAllocator<U>& aOther)
    : bytes_(aOther.Bytes())
  {
  }

  T* allocate(std::size_t aCount)
  {
    *bytes_ += aCount * sizeof(T);
    return std::allocator<T>().allocate(aCount);
  }
  void deallocate(T* aMemory, std::size_t aCount)
  {
    *bytes_ -= aCount * sizeof(T);
    std::allocator<T>().deallocate(aMemory, aCount);
  }

  std::size_t* Bytes() const { return bytes_; }

  template<class U>
  friend bool operator==(const CountingAllocator& aLeft,
                         const CountingAllocator<U>& aRight)
  {
    return aLeft.Bytes() == aRight.Bytes();
  }
  template<class U>
  friend bool operator!=(const CountingAllocator& aLeft,
                         const CountingAllocator<U>& aRight)
  {
    return !(aLeft == aRight);
  }

private:
  std::size_t* bytes_;
};

//! A body that grows as its bytes arrive. http::string_body reserves the length
//! that the client announces.
struct GrowingBody
{
  //! Unlike a string's, its reserve does not round up.
  using value_type = std::vector<char>;

  class reader
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& aBody)
      : body_(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength,
              boost::beast::error_code& aError)
    {
      length_ = aLength.value_or(0);
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::beast::error_code& aError)
    {
      const std::size_t count = boost::beast::buffer_bytes(aBuffers);
      if (body_.size() + count > body_.capacity()) {
        const std::size_t doubled = 2 * (body_.size() + count);
        body_.reserve(length_ > 0 ? std::min<std::size_t>(doubled, length_)
                                  : doubled);
      }
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        const char* data = static_cast<const char*>(buffer.data());
        body_.insert(body_.end(), data, data + buffer.size());
      }
      aError = {};
      return count;
    }

    static void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& body_;
    std::uint64_t length_ = 0; //!< 0: not announced.
  };
};

// NOLINTEND(readability-identifier-naming)

//! Parses a request and holds what has arrived of it.
using RequestParser =
  boost::beast::http::request_parser<GrowingBody, CountingAllocator<char>>;

}

#endif
