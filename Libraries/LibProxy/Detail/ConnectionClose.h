#pragma once

#include <LibProxy/ConnectionEnd.h>
#include <LibProxy/Detail/Native.h>

namespace Stagepost {

// After a normal close the kernel goes on sending what the peer has not acknowledged, and the peer reads all
// of it before the end. A reset discards these bytes, and the peer sees that the connection broke off.

// Lets the connection end with a reset, however it ends: also if this process is killed.
void resetWhenClosed(TcpStream&);
// Undoes that.
void endNormallyWhenClosed(TcpStream&);

// The following close connections that this process has opened. A request that was given up during a network
// outage would otherwise reach its upstream seconds later.

// Closes a connection whose request was answered: the peer still reads all that was sent.
void closeAfterAnswer(TcpStream&);

// Closes a connection whose request was given up: with a reset where the peer has not acknowledged all
// bytes, and otherwise normally.
ConnectionEnd closeAfterGivingUp(TcpStream&);

}
