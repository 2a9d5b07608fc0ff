#pragma once

#include <LibProxy/ConnectionEnd.h>
#include <LibProxy/Detail/Native.h>

namespace Stagepost {

// The ends of connections that this process has opened. After a normal close the kernel goes on sending
// what the peer has not acknowledged, so a request that was given up during a network outage would reach
// its upstream seconds later. A reset discards these bytes.

// Lets the connection end with a reset, however it ends: also if this process is killed.
void resetWhenClosed(TcpStream&);

// Closes a connection whose request was answered: the peer still reads all that was sent.
void closeAfterAnswer(TcpStream&);

// Closes a connection whose request was given up: with a reset where the peer has not acknowledged all
// bytes, and otherwise normally.
ConnectionEnd closeAfterGivingUp(TcpStream&);

}
