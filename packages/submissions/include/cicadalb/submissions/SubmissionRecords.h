#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/submissions/PartialText.h"
#include "cicadalb/submissions/Submission.h"

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Stored records of a submission and their keys. Records are CBOR.
///
///     submissions/<id>/text        the submission, or a marker that it was refused for good
///     submissions/<id>/end         exists once the trainer has ended the submission
///     results/<id>/00000000        number of items, written together with the submission; one call reads it and the results
///     results/<id>/00000000/organisation  organisation that owns the submission, written together with it; absent if it has none
///     results/<id>/<number>        segment of the results, in order; written once and only after the preceding segment
///     texts/latest                 partial texts of the coordinator's running and waiting samples, for the next coordinator

namespace cicadalb {

inline constexpr std::string_view submissionPrefix = "submissions/";
inline constexpr std::string_view resultPrefix = "results/";
inline constexpr std::string_view partialTextsKey = "texts/latest";

/// @brief Maximum length of an id in a key of the store.
inline constexpr std::size_t maximumIdLength = 128;

enum class SubmissionKeyKind : std::uint8_t { Submission,
    End,
    Unknown };

struct SubmissionKey {
    SubmissionId id;
    SubmissionKeyKind kind = SubmissionKeyKind::Unknown;
};

std::string submissionKey(const SubmissionId&);
std::string endKey(const SubmissionId&);
/// @brief Common prefix of the keys of a submission's results and of its number of items.
std::string resultKeyPrefix(const SubmissionId&);
/// @brief Key of the number of items.
std::string itemCountKey(const SubmissionId&);
/// @brief Key of the name of the owning organisation, which sorts between the number of items and the first segment.
std::string organisationKey(const SubmissionId&);
/// @param segment from 0
std::string resultSegmentKey(const SubmissionId&, std::size_t segment);
/// @brief Key of the last of @p segments result segments, or itemCountKey() if there are none.
std::string lastResultSegmentKey(const SubmissionId&, std::size_t segments);
SubmissionKey parseSubmissionKey(std::string_view key);

/// @brief Record that is stored under submissionKey() when a submission is refused, so that a late write of the submission fails.
std::string refusalRecord();
bool isRefusalRecord(std::string_view record);

std::string encodeSubmission(const Submission&);
/// Errors: RecordInvalid.
Result<Submission> decodeSubmission(std::string_view record);
/// @brief Reads only when a submission was submitted, without its items. Errors: RecordInvalid.
Result<UnixTime> decodeSubmissionTime(std::string_view record);
std::string encodeItemCount(std::size_t items);
/// Errors: RecordInvalid.
Result<std::size_t> decodeItemCount(std::string_view record);
std::string encodePartialTexts(const std::vector<ItemText>&);
/// Errors: RecordInvalid.
Result<std::vector<ItemText>> decodePartialTexts(std::string_view record);
std::string encodeResults(const std::vector<SampleResult>&);
/// Errors: RecordInvalid.
Result<std::vector<SampleResult>> decodeResults(std::string_view record);

} // namespace cicadalb
