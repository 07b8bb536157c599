// Package fleetsim simulates many gateways of package logic in one process with a model of clients, hosts and the
// gossip between gateways, on a simulated clock. It measures what the quotas are about: units sent beyond each
// customer's true bucket, requests rejected while that bucket was half full or more, answers in time, time-outs, and
// the messages that each gateway received.
//
// It models fleets of a size that no machine runs in real time (hundreds of gateways). It is a discrete-event
// simulation (one schedule, one event a batch) that is deterministic for a seed: the same Config causes the same
// Report, bit for bit. It does no I/O.
//
// The model, by part:
//   - Customers send requests as a Poisson process at a rate that is a fraction of their plan's quota (most below it, a
//     heavy share a multiple above it), each to a random gateway of their subset. A rejected request is retried by its
//     client after the retry-after time, up to Retries times, if that is before its deadline.
//   - Each customer has a true bucket as its plan states it, over all gateways together. A first attempt takes its unit
//     from it, and what the bucket lacks is sent beyond the quota. A rejection while it has half a burst or more is a
//     rejection within the quota.
//   - Hosts serve Slots requests at once and queue up to Queue; service times are exponential with mean ServiceTime. A
//     full queue answers busy. Each answer reports the host's busy share.
//   - A message reaches its receiver after GossipDelay, or not at all: by chance with GossipLoss, or if the receiver
//     has received GossipPerSecond messages within the second before.
package fleetsim
