#include "wisteriaflow/gateway/answer_end.h"

namespace wisteriaflow::gateway {

std::string_view to_string(probe_verdict verdict)
{
  switch (verdict) {
  case probe_verdict::listens:
    return "listens";
  case probe_verdict::ended:
    return "ended";
  case probe_verdict::unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view to_string(end_evidence evidence)
{
  switch (evidence) {
  case end_evidence::framing:
    return "framing";
  case end_evidence::replaced:
    return "replaced";
  case end_evidence::refused:
    return "refused";
  case end_evidence::listens:
    return "listens";
  case end_evidence::peer_refused:
    return "peer_refused";
  case end_evidence::peer_listens:
    return "peer_listens";
  case end_evidence::none:
    return "none";
  }
  return "none";
}

answer_end judge_end(const end_observation& seen)
{
  if (seen.is_framed) {
    return {end_verdict::whole, end_evidence::framing};
  }
  if (seen.is_replaced) {
    return {end_verdict::unknown, end_evidence::replaced};
  }
  if (seen.own == probe_verdict::ended) {
    return {end_verdict::cut, end_evidence::refused};
  }
  if (seen.own == probe_verdict::listens) {
    return {end_verdict::whole, end_evidence::listens};
  }
  if (seen.peer == probe_verdict::ended) {
    return {end_verdict::cut, end_evidence::peer_refused};
  }
  if (seen.peer == probe_verdict::listens) {
    return {end_verdict::whole, end_evidence::peer_listens};
  }
  return {end_verdict::unknown, end_evidence::none};
}

} // namespace wisteriaflow::gateway
