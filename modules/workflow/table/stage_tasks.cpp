#include "workflow/table/stage_tasks.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// @return Position of the first record at or after `index`.
std::size_t position_of(core::stage_record const& stage, std::uint32_t index)
{
    auto const found =
        std::lower_bound(stage.indices.begin(), stage.indices.end(), index);
    return static_cast<std::size_t>(found - stage.indices.begin());
}

/// @return The first range that ends after `index`.
auto range_after(std::vector<core::task_range> const& ranges,
                 std::uint32_t index)
{
    return std::partition_point(ranges.begin(),
                                ranges.end(),
                                [index](core::task_range const& each)
                                { return each.end <= index; });
}

bool contains(std::vector<core::task_range> const& ranges, std::uint32_t index)
{
    auto const found = range_after(ranges, index);
    return found != ranges.end() && found->first <= index;
}

/// Adds a task that no range contains.
void insert(std::vector<core::task_range>& ranges, std::uint32_t index)
{
    auto const next =
        ranges.begin() + (range_after(ranges, index) - ranges.cbegin());
    bool const joins_next = next != ranges.end() && next->first == index + 1;
    bool const joins_previous =
        next != ranges.begin() && std::prev(next)->end == index;
    if (joins_previous && joins_next)
    {
        std::prev(next)->end = next->end;
        ranges.erase(next);
    }
    else if (joins_previous)
    {
        std::prev(next)->end = index + 1;
    }
    else if (joins_next)
    {
        next->first = index;
    }
    else
    {
        ranges.insert(next, {index, index + 1});
    }
}

bool is_needless(core::task_record const& task)
{
    return task.done && !task.placed && !task.earlier && task.suspected.empty();
}

std::uint32_t size_of(core::task_range const& range)
{
    return range.end - range.first;
}

} // namespace

core::task_record const* find_task_record(core::stage_record const& stage,
                                          std::uint32_t index)
{
    auto const position = position_of(stage, index);
    return position < stage.indices.size() && stage.indices[position] == index
               ? &stage.tasks[position]
               : nullptr;
}

core::task_record* find_task_record(core::stage_record& stage,
                                    std::uint32_t index)
{
    return const_cast<core::task_record*>(
        find_task_record(std::as_const(stage), index));
}

core::task_record& add_task_record(core::stage_record& stage,
                                   std::uint32_t index)
{
    auto const position = position_of(stage, index);
    if (position == stage.indices.size() || stage.indices[position] != index)
    {
        auto const offset = static_cast<std::ptrdiff_t>(position);
        stage.indices.insert(stage.indices.begin() + offset, index);
        stage.tasks.emplace(stage.tasks.begin() + offset);
    }
    return stage.tasks[position];
}

bool is_task_done(core::stage_record const& stage, std::uint32_t index)
{
    auto const* const record = find_task_record(stage, index);
    return record != nullptr ? record->done : contains(stage.done, index);
}

std::uint32_t count_done(core::stage_record const& stage)
{
    auto const with_record =
        std::count_if(stage.tasks.begin(),
                      stage.tasks.end(),
                      [](core::task_record const& task) { return task.done; });
    return std::accumulate(stage.done.begin(),
                           stage.done.end(),
                           static_cast<std::uint32_t>(with_record),
                           [](std::uint32_t sum, core::task_range const& each)
                           { return sum + size_of(each); });
}

void drop_done_record(core::stage_record& stage, std::uint32_t index)
{
    auto const* const record = find_task_record(stage, index);
    if (record == nullptr || !is_needless(*record))
    {
        return;
    }
    auto const position = record - stage.tasks.data();
    stage.tasks.erase(stage.tasks.begin() + position);
    stage.indices.erase(stage.indices.begin() + position);
    insert(stage.done, index);
}

std::vector<core::task_range> never_placed(core::stage_record const* stage,
                                           std::uint32_t tasks)
{
    if (stage == nullptr)
    {
        return {{0, tasks}};
    }
    std::vector<core::task_range> result;
    std::uint32_t next = 0;
    auto const add_before = [&result, &next](core::task_range const& known)
    {
        if (known.first > next)
        {
            result.push_back({next, known.first});
        }
        next = known.end;
    };
    auto done = stage->done.begin();
    for (auto const index : stage->indices)
    {
        for (; done != stage->done.end() && done->first < index; ++done)
        {
            add_before(*done);
        }
        add_before({index, index + 1});
    }
    std::for_each(done, stage->done.end(), add_before);
    add_before({tasks, tasks});
    return result;
}

std::uint32_t count_gang_failure(core::stage_record& gang,
                                 core::attempt_number attempt)
{
    auto& failed = gang.failed_attempts;
    if (std::find(failed.begin(), failed.end(), attempt) == failed.end())
    {
        failed.push_back(attempt);
    }
    // Earlier releases have counted for each member only.
    auto count = static_cast<std::uint32_t>(failed.size());
    for (auto const& member : gang.tasks)
    {
        count = std::max(count, member.failures);
    }
    return count;
}

void drop_needless_records(core::stage_record& stage)
{
    if (stage.indices.size() == stage.tasks.size())
    {
        return;
    }
    auto const all = std::exchange(stage.tasks, {});
    stage.indices.clear();
    for (std::uint32_t i = 0; i < all.size(); ++i)
    {
        if (is_needless(all[i]))
        {
            insert(stage.done, i);
        }
        else if (all[i] != core::task_record{})
        {
            stage.tasks.push_back(all[i]);
            stage.indices.push_back(i);
        }
    }
}

} // namespace turmericswitch::workflow
