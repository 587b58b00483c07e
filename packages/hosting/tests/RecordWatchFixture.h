#pragma once

#include "FaultyStore.h"
#include "RecordWatch.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

/// @file
/// A watch on a store whose watches can be disturbed.

namespace cicadalb {

/// A watch of "records/" on a store whose watches can be disturbed while all other calls are served.
struct RecordWatchFixture {
    static constexpr std::chrono::milliseconds step { 10 };

    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    CallDisruption disruption = CallDisruption::None;
    FaultyStore watchedStore { context.get_executor(), store, clock, [this](CallKind kind) { return kind == CallKind::Watch ? disruption : CallDisruption::None; } };
    bool isHandlerFailing = false;
    std::vector<std::string> seen;
    std::shared_ptr<RecordWatch> watch;

    void startWatch(std::chrono::milliseconds maximumWait = std::chrono::milliseconds(1000))
    {
        RecordWatchSettings settings { "records/" };
        settings.maximumWait = maximumWait;
        settings.keepsCurrent = true;
        const auto apply = [this](const WatchResult& records, Duration) {
            if (isHandlerFailing)
                throw std::runtime_error("the records cannot be applied");
            for (const auto& entry : records.entries)
                seen.push_back(entry.key);
        };
        watch = std::make_shared<RecordWatch>(context.get_executor(), watchedStore, clock, std::move(settings), RecordWatchHandler { apply, apply, {} });
        watch->start();
        runLoop();
    }

    ~RecordWatchFixture()
    {
        disruption = CallDisruption::None;
        isHandlerFailing = false;
        if (watch)
            watch->stop();
        for (std::chrono::seconds passed {}; passed < std::chrono::seconds(60); passed += std::chrono::seconds(1)) {
            store.advance(std::chrono::seconds(1));
            runLoop();
        }
    }

    void runLoop()
    {
        context.restart();
        context.poll();
    }

    void pass(Duration time)
    {
        for (Duration passed {}; passed < time; passed += step) {
            store.advance(step);
            runLoop();
        }
    }

    bool hasSeen(const std::string& key) const { return std::find(seen.begin(), seen.end(), key) != seen.end(); }
};

} // namespace cicadalb
