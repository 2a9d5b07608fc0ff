#include <LibProxy/Detail/SocketBuffer.h>
#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

constexpr size_t kilobyte = 1u << 10;
constexpr size_t limit = 8u << 20;
constexpr size_t baseSize = 32 * kilobyte;

// Two ends of a connection.
struct Fixture {
    Fixture()
    {
        Tcp::acceptor acceptor(context, { Net::ip::make_address("127.0.0.1"), 0 });
        sender.connect(acceptor.local_endpoint());
        receiver = acceptor.accept();
        sender.non_blocking(true);
    }

    size_t sendBufferSize() const
    {
        Net::socket_base::send_buffer_size size;
        sender.get_option(size);
        return static_cast<size_t>(size.value());
    }

    Net::io_context context;
    Tcp::socket sender { context };
    Tcp::socket receiver { context };
    std::shared_ptr<ClientMemory> memory { std::make_shared<ClientMemory>(limit) };
    SocketBuffer buffer { memory, SocketBuffer::Direction::Send, { baseSize } };
};

}

BOOST_FIXTURE_TEST_SUITE(SocketBufferTests, Fixture)

BOOST_AUTO_TEST_CASE(TheChargeCoversWhatTheKernelMayHoldBeyondTheBaseSize)
{
    buffer.apply(sender);
    BOOST_TEST(memory->used() == 0);
    buffer.fit(sender, 200 * kilobyte);
    BOOST_TEST(buffer.isEnlarged());
    BOOST_TEST(sendBufferSize() > 2 * baseSize);
    BOOST_TEST(memory->used() + baseSize >= sendBufferSize());
    buffer.fit(sender, 0);
    BOOST_TEST(!buffer.isEnlarged());
    BOOST_TEST(sendBufferSize() <= 2 * baseSize);
    BOOST_TEST(memory->used() == 0);
}

BOOST_AUTO_TEST_CASE(ABodyWithinTheBaseSizeChangesNothing)
{
    buffer.fit(sender, baseSize);
    BOOST_TEST(!buffer.isEnlarged());
    BOOST_TEST(memory->used() == 0);
}

// Guards against large buffers that keep requests out.
BOOST_AUTO_TEST_CASE(BuffersStaySmallWhileMemoryIsShort)
{
    ClientMemory::Charge others(memory);
    others.resize(limit / 2);
    buffer.fit(sender, limit);
    BOOST_TEST(!buffer.isEnlarged());
    others.resize(limit / 2 - 512 * kilobyte);
    buffer.fit(sender, limit);
    BOOST_TEST(buffer.isEnlarged());
    BOOST_TEST(memory->used() <= limit / 2);
}

BOOST_AUTO_TEST_CASE(TrimmingKeepsTheSizeWhileMemoryIsAmple)
{
    buffer.fit(sender, 200 * kilobyte);
    buffer.trim(sender);
    BOOST_TEST(buffer.isEnlarged());
    ClientMemory::Charge others(memory);
    others.resize(limit / 2);
    buffer.trim(sender);
    BOOST_TEST(!buffer.isEnlarged());
}

// Guards against memory that the kernel still holds for a client that doesn't read, and that nobody counts.
BOOST_AUTO_TEST_CASE(TheChargeStaysUntilTheBytesAreSent)
{
    Net::socket_base::receive_buffer_size const small(4096);
    receiver.set_option(small);
    buffer.fit(sender, limit);
    std::string const bytes(limit, 'x');
    NetError failure;
    while (!failure)
        sender.write_some(Net::buffer(bytes), failure);
    buffer.fit(sender, 0);
    BOOST_TEST(buffer.isEnlarged());
    BOOST_TEST(memory->used() > baseSize);
}

BOOST_AUTO_TEST_CASE(TheChargeStaysUntilTheBytesAreRead)
{
    SocketBuffer received(memory, SocketBuffer::Direction::Receive, { baseSize });
    received.fit(receiver, limit);
    std::string const bytes(limit, 'x');
    NetError failure;
    while (!failure)
        sender.write_some(Net::buffer(bytes), failure);
    received.fit(receiver, 0);
    BOOST_TEST(received.isEnlarged());
    BOOST_TEST(memory->used() > baseSize);
}

BOOST_AUTO_TEST_CASE(WithoutABaseSizeTheBufferIsTheKernels)
{
    SocketBuffer unbounded(memory, SocketBuffer::Direction::Send, {});
    auto const before = sendBufferSize();
    unbounded.fit(sender, limit);
    BOOST_TEST(sendBufferSize() == before);
    BOOST_TEST(memory->used() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
