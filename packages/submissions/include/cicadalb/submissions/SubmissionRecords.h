#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/submissions/PartialText.h"
#include "cicadalb/submissions/Submission.h"

#include <string>
#include <string_view>
#include <vector>

/// @file
/// What is stored of a submission, and under which keys. Records are CBOR.
///
///     submissions/<id>/text        the submission, or a mark that it was refused for good
///     submissions/<id>/end         exists once the trainer ended it
///     results/<id>/00000000        the number of its items, written together with the text: one call reads it and the results
///     results/<id>/<number>        results in order; a segment is written once and only after the one before it
///     texts/latest                 texts that the coordinator's engines are making, for its successor

namespace cicadalb {

inline constexpr std::string_view submissionPrefix = "submissions/";
inline constexpr std::string_view resultPrefix = "results/";
inline constexpr std::string_view textsKey = "texts/latest";

/// @brief Longest id that fits a key of the store.
inline constexpr std::size_t maximumIdLength = 128;

enum class SubmissionKeyKind : std::uint8_t { Text,
    End,
    Unknown };

struct SubmissionKey {
    SubmissionId id;
    SubmissionKeyKind kind = SubmissionKeyKind::Unknown;
};

std::string textKey(const SubmissionId&);
std::string endKey(const SubmissionId&);
std::string resultKeys(const SubmissionId&);
/// @brief Key of the number of items.
std::string totalKey(const SubmissionId&);
/// @param segment from 0
std::string resultKey(const SubmissionId&, std::size_t segment);
/// @brief Key of the last of @p segments segments, or that of the number of items if there is none.
std::string lastResultKey(const SubmissionId&, std::size_t segments);
SubmissionKey parseSubmissionKey(std::string_view key);

/// @brief The record that takes a submission's key so that a late write of its text fails.
std::string refusalRecord();
bool isRefusalRecord(std::string_view record);

std::string encodeSubmission(const Submission&);
/// Errors: RecordInvalid.
Result<Submission> decodeSubmission(std::string_view record);
std::string encodeTotal(std::size_t items);
/// Errors: RecordInvalid.
Result<std::size_t> decodeTotal(std::string_view record);
std::string encodeTexts(const std::vector<ItemText>&);
/// Errors: RecordInvalid.
Result<std::vector<ItemText>> decodeTexts(std::string_view record);
std::string encodeResults(const std::vector<SampleResult>&);
/// Errors: RecordInvalid.
Result<std::vector<SampleResult>> decodeResults(std::string_view record);

} // namespace cicadalb
