#include <LibBase/Utf8.h>

#include <boost/locale/utf.hpp>

namespace Stagepost {

bool isValidUtf8(std::string_view text)
{
    namespace Utf = boost::locale::utf;
    auto const* position = text.data();
    auto const* const end = position + text.size();
    while (position != end) {
        auto const character = Utf::utf_traits<char>::decode(position, end);
        if (character == Utf::illegal || character == Utf::incomplete)
            return false;
    }
    return true;
}

}
