#include <LibBase/Log.h>
#include <csignal>
#include <iostream>
#include <stagepostd/Daemon.h>
#include <stagepostd/SystemRandom.h>

namespace {

// Exit code for an invalid flag or environment variable.
constexpr int exitUsage = 2;

}

int main(int argc, char** argv)
{
    auto options = Stagepost::Options::parse(argc, argv);
    if (!options) {
        std::cerr << "stagepostd: " << options.error().detail << "\nTry 'stagepostd --help'.\n";
        return exitUsage;
    }
    if (options->printsMessage) {
        std::cout << options->message;
        return 0;
    }
    Stagepost::setLogLevel(options->logLevel);
    Stagepost::EventLoop loop;
    Stagepost::Daemon daemon(loop, *options, Stagepost::systemRandom());
    if (auto const started = daemon.start(); !started) {
        Stagepost::logEvent(Stagepost::LogLevel::Error, "cannot-start", { { "detail", started.error().message() } });
        return 1;
    }
    loop.onSignals({ SIGTERM, SIGINT }, [&](int) {
        daemon.drain([&] { loop.stop(); });
    });
    std::signal(SIGPIPE, SIG_IGN);
    loop.run();
    return 0;
}
