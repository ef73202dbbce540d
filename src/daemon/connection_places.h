#ifndef REDWINGDOCK_DAEMON_CONNECTION_PLACES_H
#define REDWINGDOCK_DAEMON_CONNECTION_PLACES_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

// Counts the connections to one address against a limit. Each connection holds a place, which is
// given up exactly once: it can be moved but not copied, and there is no other way to lower the
// count.
//
//   auto places = std::make_shared<connection_places>();
//   connection_place place = TakePlace(places, 8); // given up when destroyed
//   if (place.IsHeld()) { ... }

namespace redwingdock {

class connection_place;

class connection_places
{
public:
  std::uint32_t Held() const { return mHeld; }

private:
  friend class connection_place;
  friend connection_place TakePlace(const std::shared_ptr<connection_places>& aPlaces,
                                    std::uint32_t aLimit);

  std::atomic<std::uint32_t> mHeld{ 0 };
};

class connection_place
{
public:
  connection_place() = default;
  ~connection_place() { GiveUp(); }
  connection_place(connection_place&& aOther) noexcept
    : mPlaces(std::move(aOther.mPlaces))
  {
  }
  connection_place& operator=(connection_place&& aOther) noexcept
  {
    if (this != &aOther) {
      GiveUp();
      mPlaces = std::move(aOther.mPlaces);
    }
    return *this;
  }

  bool IsHeld() const { return mPlaces != nullptr; }
  void GiveUp()
  {
    if (const std::shared_ptr<connection_places> places = std::move(mPlaces)) {
      --places->mHeld;
    }
  }

private:
  friend connection_place TakePlace(const std::shared_ptr<connection_places>& aPlaces,
                                    std::uint32_t aLimit);

  std::shared_ptr<connection_places> mPlaces; // null when no place is held
};

// Takes a place, or none if aLimit places or more are held.
inline connection_place TakePlace(const std::shared_ptr<connection_places>& aPlaces,
                                  std::uint32_t aLimit)
{
  connection_place place;
  std::uint32_t held = aPlaces->mHeld;
  while (held < aLimit) {
    if (aPlaces->mHeld.compare_exchange_weak(held, held + 1)) {
      place.mPlaces = aPlaces;
      break;
    }
  }
  return place;
}

} // namespace redwingdock

#endif
