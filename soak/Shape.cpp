#include "soak/Shape.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

Job DrawPlainJob(Dice& aDice)
{
  Job job;
  job.route = "quote";
  job.tasks = 1 + aDice.Next() % 6;
  job.workMs = 30 + aDice.Next() % 250;
  job.cpuMillis = 2000 + aDice.Next() % 4000;
  job.deadline = std::chrono::seconds(3);
  return job;
}

//! A kind of job of the order desk: mean and maximum of tasks and work, and its
//! share of the jobs in thousandths.
struct JobKind
{
  const char* route;
  std::uint64_t share;
  std::uint64_t tasks;
  std::uint64_t mostTasks;
  std::uint64_t workMs;
  std::uint64_t mostWorkMs;
  std::uint64_t largeOneIn; //!< Work of that share is over the mean.
};

//! Long jobs and long tasks among them are drawn more often than on the
//! deployment, since only they outlast leases and repeats.
constexpr std::array<JobKind, 3> kOrderDeskJobs{ {
  { "stock", 250, 8, 32, 60, 240, 12 },
  { "reserve", 250, 4, 16, 900, 3600, 3 },
  { "price", 500, 2, 8, 200, 800, 12 },
} };

//! From half of the mean to one and a half of it; one in so many from the mean
//! up to the maximum.
std::uint64_t DrawAround(Dice& aDice,
                         std::uint64_t aMean,
                         std::uint64_t aMost,
                         std::uint64_t aLargeOneIn)
{
  const bool isLarge = aDice.Next() % aLargeOneIn == 0;
  const std::uint64_t least = isLarge ? aMean : aMean / 2;
  const std::uint64_t most = isLarge ? aMost : aMean + aMean / 2;
  return least + aDice.Next() % (most - least + 1);
}

Job DrawJobOf(const JobKind& aKind, Dice& aDice)
{
  // An objective is the stretch of the longest work and the target on top; an
  // answer is worth something up to three of them.
  constexpr std::uint64_t kTargetMs = 60;
  constexpr std::uint64_t kObjectives = 3;
  constexpr std::uint64_t kLeastDeadlineMs = 1500;
  Job job;
  job.route = aKind.route;
  job.tasks = DrawAround(aDice, aKind.tasks, aKind.mostTasks, 12);
  job.workMs =
    DrawAround(aDice, aKind.workMs, aKind.mostWorkMs, aKind.largeOneIn);
  // Two or three tasks fill an endpoint.
  job.cpuMillis = 20000 + aDice.Next() % 14000;
  const std::uint64_t objectiveMs = job.workMs * 8 / 5 + kTargetMs;
  job.deadline = std::chrono::milliseconds(
    std::max(kLeastDeadlineMs, kObjectives * objectiveMs));
  return job;
}

Job DrawOrderDeskJob(Dice& aDice)
{
  std::uint64_t lot = aDice.Next() % 1000;
  const JobKind* kind = kOrderDeskJobs.data();
  while (lot >= kind->share) {
    lot -= kind->share;
    ++kind;
  }
  return DrawJobOf(*kind, aDice);
}

//! Mostly long jobs: a leader that wakes from a pause still has their tasks.
Job DrawLongJob(Dice& aDice)
{
  const bool isLong = aDice.Next() % 4 != 0;
  return isLong ? DrawJobOf(kOrderDeskJobs[1], aDice) : DrawOrderDeskJob(aDice);
}

Shape PlainShape()
{
  Shape shape;
  shape.name = "plain";
  shape.routes = { { "quote", 0, 3 } };
  shape.drawJob = DrawPlainJob;
  shape.endpointCpuMillis = 16000;
  shape.speeds = { 0.6, 1.2, 1.2, 1.2 };
  return shape;
}

Shape OrderDeskShape(std::string aName, FaultMix aFaults, bool aResetsOneSided)
{
  Shape shape;
  shape.name = std::move(aName);
  shape.routes = { { "stock", 0, 2 }, { "reserve", 2, 3 }, { "price", 1, 2 } };
  shape.drawJob = aFaults == FaultMix::Cuts ? DrawLongJob : DrawOrderDeskJob;
  shape.resends = 3;
  shape.isZoned = true;
  shape.faults = aFaults;
  shape.resetsOneSided = aResetsOneSided;
  shape.endpointCpuMillis = 64000;
  shape.speeds = { 0.6, 0.6, 0.6, 1, 1, 1, 1.6, 1.6, 1.6 };
  return shape;
}

const std::array<Shape, 4>& Shapes()
{
  static const std::array<Shape, 4> shapes{
    PlainShape(),
    OrderDeskShape("order-desk", FaultMix::Zoned, false),
    OrderDeskShape("order-desk-one-sided", FaultMix::Zoned, true),
    OrderDeskShape("order-desk-cuts", FaultMix::Cuts, false),
  };
  return shapes;
}

}

const Shape& ShapeOf(std::string_view aName)
{
  for (const Shape& shape : Shapes()) {
    if (shape.name == aName) {
      return shape;
    }
  }
  throw std::out_of_range("no shape of this name: " + std::string(aName));
}

}
