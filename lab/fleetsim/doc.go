// Package fleetsim simulates many gateways of package logic in one process, against a model of clients, of hosts and of
// the gossip between gateways. It measures how well quotas are kept and requests are answered: units forwarded beyond
// each customer's quota, requests rejected within it, late answers, time-outs, and the messages that gateways receive.
//
// It simulates fleets that are too large to run in real time on one machine (hundreds of gateways). It is a
// discrete-event simulation with one schedule, in which a gateway handles each event in a batch of its own, and
// deterministic: the same Config always returns the same Report, bit for bit. It does no I/O.
//
// The model, by part:
//   - Customers send requests as a Poisson process, each to a random gateway of the customer's set, at a fraction of
//     the plan's quota or, if the customer is heavy, at a multiple of it. The client retries a rejected request after
//     the Retry-After time, up to MaxRetries times, if that is before its deadline.
//   - The ground truth of a customer's quota is its true bucket: a token bucket as the plan defines it, over all
//     gateways together. The first attempt of a request takes a unit from it; if there is none, the request counts as
//     over quota. A rejection while the true bucket holds half a burst or more counts as within the quota.
//   - Hosts serve Slots requests at once and queue up to QueueLength; service times are exponential with mean
//     ServiceTime. A host with a full queue rejects the attempt as busy. Each answer reports the fraction of busy
//     slots.
//   - A message reaches its receiver after GossipDelay. It is lost with probability GossipLoss, or if the receiver has
//     received GossipRateLimit messages within the last second.
package fleetsim
