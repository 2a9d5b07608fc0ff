#include <LibRouting/PromptPartSuspects.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

// The first part of all prompts, a part that crashes upstreams, and one that a few prompts have.
constexpr Fingerprint shared { 1 };
constexpr Fingerprint bad { 2 };
constexpr Fingerprint rare { 3 };
std::vector<Fingerprint> const crashingPrompt { shared, bad };
std::vector<Fingerprint> const soundPrompt { shared, rare };

PromptPartSuspects::Bounds const bounds {};
constexpr Instant start { Seconds(1000) };

// A daemon that sees all crashes and answers.
struct Daemon {
    // Whether the fleet leaves trials to this daemon.
    bool triesHere { false };
    PromptPartSuspects suspects { VMId(1), bounds };
    Instant now { start };
    uint64_t upstreams { 0 };

    void wait(Microseconds duration) { now += duration; }
    void crash(std::vector<Fingerprint> const& prompt)
    {
        ++upstreams;
        for (auto const part : prompt)
            suspects.recordCrash(part, UpstreamId(upstreams), now);
    }
    void crashRepeatedly(std::vector<Fingerprint> const& prompt, size_t count, Microseconds interval)
    {
        for (; count; --count, wait(interval))
            crash(prompt);
    }
    std::vector<Fingerprint> answer(std::vector<Fingerprint> const& prompt) { return suspects.recordAnswer(prompt, now); }
    bool admits(std::vector<Fingerprint> const& prompt)
    {
        auto const admission = suspects.admit(prompt, now);
        bool const isTrial = admission == PromptPartSuspects::Admission::Trial && triesHere;
        if (isTrial)
            suspects.recordTrial(prompt, now);
        return isTrial || admission == PromptPartSuspects::Admission::Granted;
    }
    bool isPoison(Fingerprint part) const { return suspects.isPoison(part, now); }
};

}

BOOST_AUTO_TEST_SUITE(PromptPartSuspectsTests)

BOOST_AUTO_TEST_CASE(APartWithoutAnswersIsPoisonAfterThreeCrashes)
{
    Daemon daemon;
    daemon.crashRepeatedly(crashingPrompt, 2, Seconds(1));
    daemon.wait(Seconds(10));
    BOOST_TEST(!daemon.isPoison(bad));
    daemon.crash(crashingPrompt);
    BOOST_TEST(!daemon.isPoison(bad));
    daemon.wait(bounds.verdictDelay);
    BOOST_TEST(daemon.isPoison(bad));
    BOOST_TEST(!daemon.admits(crashingPrompt));
}

// Guards against refusing all prompts of a caller whose requests crash upstreams.
BOOST_AUTO_TEST_CASE(SharedPartsThatAreAnsweredAreNotPoison)
{
    Daemon daemon;
    for (int round = 0; round < 20; ++round) {
        daemon.crash(crashingPrompt);
        daemon.wait(Milliseconds(100));
        daemon.answer(soundPrompt);
        daemon.wait(Milliseconds(100));
        BOOST_TEST(!daemon.isPoison(shared));
        BOOST_TEST(daemon.admits(soundPrompt));
    }
    BOOST_TEST(daemon.isPoison(bad));
}

// Sound requests may be rare, or slow.
BOOST_AUTO_TEST_CASE(AnAnsweredPartIsNotBlamedForCrashesThatAnotherPartExplains)
{
    Daemon daemon;
    daemon.answer(soundPrompt);
    daemon.wait(Seconds(1));
    daemon.crashRepeatedly(crashingPrompt, 6, Seconds(1));
    daemon.wait(Seconds(2));
    BOOST_TEST(daemon.isPoison(bad));
    BOOST_TEST(!daemon.isPoison(shared));
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsOnlyTheCrashesBeforeItsRequestWasSent)
{
    Daemon daemon;
    daemon.crash({ bad });
    daemon.wait(Seconds(1));
    auto const sentAt = daemon.now;
    daemon.wait(Seconds(1));
    daemon.crash({ bad });
    BOOST_TEST(daemon.suspects.recordAnswer(std::vector { bad }, sentAt).size() == 1u);
    BOOST_TEST(daemon.suspects.evidence().crashCount(bad) == 1u);
}

// The part has become poison, for instance by a new version of the upstreams.
BOOST_AUTO_TEST_CASE(APartThatWasAnsweredBeforeTheCrashesIsPoisonLater)
{
    Daemon daemon;
    daemon.answer({ bad });
    daemon.wait(Seconds(1));
    daemon.crashRepeatedly({ bad }, bounds.answeredPoisonThreshold, bounds.commonCauseSpan);
    BOOST_TEST(!daemon.isPoison(bad));
    daemon.wait(bounds.answeredVerdictDelay);
    BOOST_TEST(daemon.isPoison(bad));
}

// A failure of power or of the network ends many upstreams at the same time.
BOOST_AUTO_TEST_CASE(CrashesAtTheSameTimeAreNoProofAgainstAnAnsweredPart)
{
    Daemon daemon;
    daemon.answer({ shared });
    daemon.wait(Seconds(1));
    daemon.crashRepeatedly({ shared }, 8, Milliseconds(10));
    daemon.wait(Seconds(60));
    BOOST_TEST(!daemon.isPoison(shared));
}

BOOST_AUTO_TEST_CASE(OneDaemonTriesAPoisonPartOnceAndThenRarely)
{
    Daemon daemon;
    daemon.crashRepeatedly({ bad }, 3, Milliseconds(100));
    daemon.wait(bounds.firstTrialInterval);
    BOOST_TEST(!daemon.admits({ bad }));
    daemon.triesHere = true;
    BOOST_TEST(daemon.admits({ bad }));
    BOOST_TEST(!daemon.admits({ bad }));
    daemon.crash({ bad });
    daemon.wait(bounds.trialInterval - Seconds(1));
    BOOST_TEST(!daemon.admits({ bad }));
    BOOST_TEST((daemon.suspects.timeToTrial(std::vector { bad }, daemon.now) == Seconds(1)));
    daemon.wait(Seconds(1));
    BOOST_TEST(daemon.admits({ bad }));
    daemon.answer({ bad });
    BOOST_TEST(!daemon.isPoison(bad));
}

// Guards against trials each few seconds, whose crashes found no place after those of a burst.
BOOST_AUTO_TEST_CASE(AFailedTrialIsNotRepeatedAfterManyCrashes)
{
    Daemon daemon { .triesHere = true };
    daemon.crashRepeatedly(crashingPrompt, 20, Milliseconds(100));
    daemon.wait(bounds.firstTrialInterval);
    BOOST_TEST(daemon.admits(crashingPrompt));
    daemon.crash(crashingPrompt);
    daemon.wait(2 * bounds.firstTrialInterval);
    BOOST_TEST(!daemon.admits(crashingPrompt));
    daemon.wait(bounds.trialInterval);
    BOOST_TEST(daemon.admits(crashingPrompt));
}

// Guards against a part that stays unproven since the observers of its first crash take all places.
BOOST_AUTO_TEST_CASE(ManyObserversOfACrashLeaveRoomForFurtherOnes)
{
    Daemon daemon;
    for (uint64_t observer = 2; observer < 40; ++observer)
        daemon.suspects.evidence().merge({ bad, { { UpstreamId(100), VMId(observer), daemon.now } }, {} }, daemon.now);
    daemon.wait(Seconds(1));
    BOOST_TEST(!daemon.isPoison(bad));
    daemon.crashRepeatedly({ bad }, 2, Seconds(1));
    daemon.wait(bounds.verdictDelay);
    BOOST_TEST(daemon.isPoison(bad));
}

// Guards against callers that are told to come back at once while another daemon is about to try the part.
BOOST_AUTO_TEST_CASE(TheTimeToAnOverdueTrialIsNotZero)
{
    Daemon daemon;
    daemon.crashRepeatedly({ bad }, 3, Milliseconds(100));
    daemon.wait(2 * bounds.firstTrialInterval);
    BOOST_TEST(!daemon.admits({ bad }));
    BOOST_TEST((daemon.suspects.timeToTrial(std::vector { bad }, daemon.now) >= bounds.ambiguousTrialInterval));
}

// A process that starts knows of the failed trial by the crashes.
BOOST_AUTO_TEST_CASE(AFailedTrialIsNotRepeatedByADaemonThatHasStarted)
{
    Daemon before;
    before.crashRepeatedly({ bad }, 3, Milliseconds(100));
    before.wait(bounds.firstTrialInterval);
    before.crash({ bad });
    Daemon daemon;
    daemon.triesHere = true;
    daemon.now = before.now;
    BOOST_TEST(daemon.suspects.evidence().merge(*before.suspects.evidence().find(bad), daemon.now));
    daemon.wait(2 * bounds.firstTrialInterval);
    BOOST_TEST(daemon.isPoison(bad));
    BOOST_TEST(!daemon.admits({ bad }));
}

// A sound part that is first seen together with the poison one looks the same.
BOOST_AUTO_TEST_CASE(APartOfTheSameCrashesIsTriedInRequestsWithoutTheOther)
{
    Daemon daemon;
    daemon.triesHere = true;
    daemon.crashRepeatedly({ bad, rare }, 3, Milliseconds(100));
    daemon.wait(bounds.ambiguousTrialInterval);
    BOOST_TEST(daemon.isPoison(rare));
    BOOST_TEST(!daemon.admits({ bad, rare }));
    BOOST_TEST(daemon.admits({ rare }));
    daemon.wait(Milliseconds(200));
    daemon.answer({ rare });
    BOOST_TEST(!daemon.isPoison(rare));
    BOOST_TEST(daemon.isPoison(bad));
}

// Guards against further crashes by retries, and against callers that lose theirs for the crash of another request.
BOOST_AUTO_TEST_CASE(OnlyRequestsWithoutAnswersMayCrashAgain)
{
    Daemon daemon;
    daemon.answer(soundPrompt);
    daemon.wait(Seconds(1));
    daemon.crash(crashingPrompt);
    BOOST_TEST(!daemon.suspects.mayCrashAgain(crashingPrompt));
    daemon.crash(crashingPrompt);
    BOOST_TEST(daemon.suspects.mayCrashAgain(crashingPrompt));
    BOOST_TEST(!daemon.suspects.mayCrashAgain(soundPrompt));
}

BOOST_AUTO_TEST_CASE(AnswersOfThisDaemonClearWhatOthersTell)
{
    Daemon other;
    other.crashRepeatedly({ rare }, 3, Milliseconds(10));
    Daemon daemon;
    daemon.now = other.now;
    daemon.answer({ rare });
    daemon.suspects.evidence().merge(*other.suspects.evidence().find(rare), daemon.now);
    BOOST_TEST(daemon.suspects.applyOwnAnswer(rare));
    daemon.wait(Seconds(1));
    BOOST_TEST(!daemon.isPoison(rare));
}

BOOST_AUTO_TEST_CASE(PartsThatAreSeenOnceDoNotDisplaceEvidence)
{
    Daemon daemon;
    daemon.crashRepeatedly({ bad }, 3, Milliseconds(100));
    for (uint64_t part = 100; part < 100 + 4 * CrashSuspects::Bounds {}.capacity; ++part)
        daemon.crash({ Fingerprint(part) });
    daemon.wait(Seconds(1));
    BOOST_TEST(daemon.isPoison(bad));
    BOOST_TEST(daemon.suspects.evidence().suspects().size() <= CrashSuspects::Bounds {}.capacity);
}

BOOST_AUTO_TEST_SUITE_END()
