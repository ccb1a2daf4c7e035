#ifndef HEMLOCKHAVEN_SRC_HTTP_ENDPOINTHEADERS_H
#define HEMLOCKHAVEN_SRC_HTTP_ENDPOINTHEADERS_H

namespace hemlockhaven::Detail {

constexpr const char* kAttemptHeader = "Hemlockhaven-Attempt";
constexpr const char* kNotRunHeader = "Hemlockhaven-Not-Run";

}

#endif
