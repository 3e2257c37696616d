// Serialization of announcements exchanged between daemons.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "targets/types/announcement.h"

namespace burdocklock::targets {

void to_json(nlohmann::json& j, const load_report& l);
void from_json(const nlohmann::json& j, load_report& l);
void to_json(nlohmann::json& j, const announcement& a);
/// Throws if the value violates an invariant of `announcement`.
void from_json(const nlohmann::json& j, announcement& a);

}  // namespace burdocklock::targets
