#include <LibProxy/Detail/ConnectionClose.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Stagepost {

namespace {

    // Asio clears this option in the destructor of a socket if it was set through Asio.
    void setReset(TcpStream& stream, bool isReset)
    {
        ::linger const option { isReset ? 1 : 0, 0 };
        ::setsockopt(stream.socket().native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }

    bool hasUnacknowledgedBytes(TcpStream& stream)
    {
        int unacknowledged = 0;
        return ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged > 0;
    }

}

void resetWhenClosed(TcpStream& stream)
{
    setReset(stream, true);
}

void endNormallyWhenClosed(TcpStream& stream)
{
    setReset(stream, false);
}

void closeAfterAnswer(TcpStream& stream)
{
    if (!stream.socket().is_open())
        return;
    setReset(stream, false);
    stream.close();
}

ConnectionEnd closeAfterGivingUp(TcpStream& stream)
{
    if (!stream.socket().is_open())
        return ConnectionEnd::None;
    bool const isReset = hasUnacknowledgedBytes(stream);
    setReset(stream, isReset);
    stream.close();
    return isReset ? ConnectionEnd::Reset : ConnectionEnd::Closed;
}

}
