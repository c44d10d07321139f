#include <exception>

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/capacity/errors.h"
#include "wisteriaflow/capacity/lease_client.h"

namespace wisteriaflow::capacity {

namespace json = boost::json;

json::value encode_lease(const std::string& name, const lease_record& record, std::uint64_t version)
{
  json::object metadata{{"name", name}};
  if (version != 0) {
    metadata["resourceVersion"] = std::to_string(version);
  }
  json::object spec{{"holder", record.holder.value()},
                    {"fencing_number", record.fencing_number},
                    {"nonce", record.nonce},
                    {"duration_ms", record.duration.count()},
                    {"notes", record.notes}};
  return json::object{{"apiVersion", "wisteriaflow.dev/v1"},
                      {"kind", "Lease"},
                      {"metadata", std::move(metadata)},
                      {"spec", std::move(spec)}};
}

lease_record decode_lease(const json::value& document)
{
  try {
    const auto& spec = document.at("spec");
    return {.holder = daemon_id(json::value_to<std::string>(spec.at("holder"))),
            .fencing_number = spec.at("fencing_number").to_number<std::uint64_t>(),
            .nonce = spec.at("nonce").to_number<std::uint64_t>(),
            .duration = std::chrono::milliseconds(spec.at("duration_ms").to_number<std::int64_t>()),
            .notes = spec.at("notes")};
  } catch (const std::exception& e) {
    throw capacity_error(std::string("cannot decode the lease object: ") + e.what());
  }
}

} // namespace wisteriaflow::capacity
