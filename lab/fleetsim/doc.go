// Package fleetsim simulates many gateways of package logic in one process, against a model of clients, of hosts and of
// the gossip between gateways, and measures what the five rules and the quotas are about: units forwarded beyond each
// customer's quota, requests rejected within it, answers in time, time-outs, and the messages that each gateway
// received.
//
// It simulates fleets that are too large to run in real time on one machine (hundreds of gateways). It is a
// discrete-event simulation (one schedule, one event a batch) and deterministic: the same Config always returns
// the same Report, bit for bit. It does no I/O.
//
// The model, by part:
//   - Customers send requests as a Poisson process, each to a random gateway of their set, at a fraction of their
//     plan's quota or, for the heavy ones, at a multiple of it. The client retries a rejected request after the
//     Retry-After time, up to Retries times, if that is before its deadline.
//   - The ground truth keeps each customer's bucket as its plan defines it, over all gateways together: the first
//     attempt of a request takes a unit from it, and what the bucket lacks counts as over quota. A rejection while it
//     holds half a burst or more counts as within the quota.
//   - Hosts serve Slots requests at once and queue up to Queue; service times are exponential with mean ServiceTime. A
//     host with a full queue answers busy. Each answer reports the fraction of busy slots.
//   - A message reaches its receiver after GossipDelay, or not at all: at random with GossipLoss, or when the receiver
//     has received GossipPerSecond messages within the last second.
package fleetsim
