#include "wisteriaflow/capacity/launch_records.h"

#include <exception>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/capacity/errors.h"

namespace wisteriaflow::capacity {
namespace {

namespace json = boost::json;

std::string text_at(const json::value& document, std::string_view key)
{
  return json::value_to<std::string>(document.at(key));
}

launch_record decode_launch(const json::value& document)
{
  return {.token = text_at(document, "token"),
          .pool = text_at(document, "pool"),
          .key = {.zone = availability_zone(text_at(document, "availability_zone")),
                  .instance_class = text_at(document, "class"),
                  .reclaimable = document.at("reclaimable").as_bool()},
          .id = instance_id(text_at(document, "id")),
          .give_up_at = from_unix_ms(document.at("give_up_at_unix_ms").to_number<std::int64_t>())};
}

} // namespace

std::string to_string(const offer_key& key)
{
  return key.zone.value() + "/" + key.instance_class +
         (key.reclaimable ? "/reclaimable" : "/on-demand");
}

std::string launch_token(std::string_view pool, std::uint64_t fencing_number, std::uint64_t counter)
{
  return std::string(pool) + "-" + std::to_string(fencing_number) + "-" + std::to_string(counter);
}

json::value encode_launches(const std::vector<launch_record>& launches)
{
  json::array out;
  for (const auto& launch : launches) {
    out.push_back(json::object{{"token", launch.token},
                               {"pool", launch.pool},
                               {"availability_zone", launch.key.zone.value()},
                               {"class", launch.key.instance_class},
                               {"reclaimable", launch.key.reclaimable},
                               {"id", launch.id.value()},
                               {"give_up_at_unix_ms", to_unix_ms(launch.give_up_at)}});
  }
  return json::object{{"launches", std::move(out)}};
}

std::vector<launch_record> decode_launches(const json::value& document)
{
  std::vector<launch_record> out;
  if (document.is_null()) {
    return out; // the first holder of the lease finds no records
  }
  try {
    for (const auto& item : document.at("launches").as_array()) {
      out.push_back(decode_launch(item));
    }
  } catch (const std::exception& e) {
    throw capacity_error(std::string("cannot decode the launches in the lease object: ") +
                         e.what());
  }
  return out;
}

} // namespace wisteriaflow::capacity
