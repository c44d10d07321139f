// An exponentially weighted moving average (EWMA) that starts at its first sample.

#ifndef WISTERIAFLOW_ROUTING_EWMA_H_
#define WISTERIAFLOW_ROUTING_EWMA_H_

namespace wisteriaflow::routing {

// Holds an initial value until the first sample replaces it. Each later sample moves the value
// towards the sample by the fraction `gain` of the difference.
class ewma {
 public:
  // `initial` is the value before any sample; `gain` is in (0, 1].
  ewma(double initial, double gain) : value_(initial), gain_(gain) {}

  void add(double sample)
  {
    value_ = sampled_ ? value_ + gain_ * (sample - value_) : sample;
    sampled_ = true;
  }

  [[nodiscard]] double value() const { return value_; }
  // Whether any sample has been added.
  [[nodiscard]] bool sampled() const { return sampled_; }

 private:
  double value_;
  double gain_;
  bool sampled_ = false;
};

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_EWMA_H_
