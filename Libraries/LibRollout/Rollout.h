#pragma once

// The public header of LibRollout: the decisions of rolling out a new version of a service, without I/O.
#include <LibRollout/AnswerClassifier.h>
#include <LibRollout/AnswerSample.h>
#include <LibRollout/ExposureLimit.h>
#include <LibRollout/RecordRule.h>
#include <LibRollout/RolloutBook.h>
#include <LibRollout/RolloutCoordinator.h>
#include <LibRollout/RolloutEvidence.h>
#include <LibRollout/RolloutMessage.h>
#include <LibRollout/RolloutOrder.h>
#include <LibRollout/RolloutSchedule.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/TrialSet.h>
#include <LibRollout/VersionAcceptance.h>
#include <LibRollout/VersionTest.h>
