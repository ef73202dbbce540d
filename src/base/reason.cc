#include "base/reason.h"

namespace redwingdock {

std::string Describe(const reason& aReason)
{
  std::string text = aReason.mStep;
  if (!aReason.mPeer.empty()) {
    text += text.empty() ? aReason.mPeer : " " + aReason.mPeer;
  }
  if (!aReason.mText.empty()) {
    text += text.empty() ? aReason.mText : ": " + aReason.mText;
  }
  return text;
}

} // namespace redwingdock
