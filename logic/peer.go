package logic

import "ravensill/gateway"

// peer is another gateway that this one sends gossip to or receives it from.
type peer struct {
	member            int // member index
	subscriptionIndex int // of its subscription, in the subscriptions of lastSubscriber
	lastSubscriber    *customer
	counter           int  // which of the customers' counters it is sent: rowCounter if it is in another row
	sends             bool // whether it is sent counters

	lastReceived    gateway.Time // latest message
	firstReceived   gateway.Time // first message after a silence or of an incarnation
	incarnationSeen gateway.Time // first message of this incarnation
	incarnation     uint64       // its start by its own clock, in Unix milliseconds
	sequence        uint64       // number of its latest message

	heartbeatDue gateway.Time
	queue        []*subscription // of counters to send
	sentMessages uint64
	credit       float64 // messages that may be sent to it now
}

// subscription is what a customer's copies here and at a peer have exchanged.
type subscription struct {
	customer      *customer
	peer          *peer
	lastReceived  gateway.Time // time of the latest counter received
	receivedTotal uint64       // that counter, in parts of a unit (counterScale)
	sentTotal     float64      // latest counter sent, in units
	sends         bool         // whether counters are sent to the peer
	queued        bool         // whether it is in the peer's queue
}

// unsent returns the units that were not sent to the peer yet.
func (s *subscription) unsent() float64 { return s.customer.counters[s.peer.counter] - s.sentTotal }

// queueCounters queues the customer's counters: after admissions here for all peers, after admissions in the
// row for the peers in other rows. only, if not nil, is the one peer to queue them for.
func (c *customer) queueCounters(admittedHere bool, only *peer) {
	for i := range c.subscriptions {
		s := &c.subscriptions[i]
		wanted := s.peer == only
		if only == nil {
			wanted = admittedHere || s.peer.counter == rowCounter
		}
		if wanted && s.sends && !s.queued {
			s.queued = true
			s.peer.queue = append(s.peer.queue, s)
		}
	}
}
