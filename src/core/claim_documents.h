// Converts the store operations of claim shard owners to calls of the object API, and the answers
// back.

#ifndef WISTERIAFLOW_SRC_CORE_CLAIM_DOCUMENTS_H_
#define WISTERIAFLOW_SRC_CORE_CLAIM_DOCUMENTS_H_

#include <cstdint>
#include <optional>

#include "wisteriaflow/claims/owner_events.h"
#include "wisteriaflow/core/store.h"

namespace wisteriaflow::core::internal {

// Converts one operation on a shard to an object API call.
[[nodiscard]] store_operation to_store_operation(std::uint32_t shard,
                                                 const claims::store_operation& operation);

// Converts the object API's answer to `operation`. Returns nothing if the document is malformed.
[[nodiscard]] std::optional<claims::store_result>
to_claim_result(const claims::store_operation& operation, const store_answer& answer);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CLAIM_DOCUMENTS_H_
