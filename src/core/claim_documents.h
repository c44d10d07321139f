// Carries the claim owners' store operations over the object API.

#ifndef WISTERIAFLOW_SRC_CORE_CLAIM_DOCUMENTS_H_
#define WISTERIAFLOW_SRC_CORE_CLAIM_DOCUMENTS_H_

#include <cstdint>
#include <optional>

#include "wisteriaflow/claims/owner_events.h"
#include "wisteriaflow/core/store.h"

namespace wisteriaflow::core::internal {

// The object API call for one operation on a shard.
[[nodiscard]] store_operation to_store_operation(std::uint32_t shard,
                                                 const claims::store_operation& operation);

// What the answer means for the owner; nothing if the document cannot be read.
[[nodiscard]] std::optional<claims::store_result>
to_claim_result(const claims::store_operation& operation, const store_answer& answer);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CLAIM_DOCUMENTS_H_
