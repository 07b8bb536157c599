package logic

import "ravensill/gateway"

// peer is another gateway that this one sends to or hears.
type peer struct {
	member            int // its member index
	subscriptionIndex int // of its subscription in those of lastSubscriber
	lastSubscriber    *customer
	counter           int  // which of the customers' counters it is sent: rowCounter where it is in another row
	sends             bool // it is sent counters

	lastReceived    gateway.Time // last message
	firstReceived   gateway.Time // first message after a silence, or of an incarnation
	incarnationSeen gateway.Time // first message of this incarnation
	incarnation     uint64       // its start by its own clock, in milliseconds
	sequence        uint64       // number of its last message

	heartbeatDue gateway.Time
	queue        []*subscription // with counters to send
	sentMessages uint64
	credit       float64 // messages that it can take
}

// subscription is what a customer's copy here and at a peer know of each other.
type subscription struct {
	customer      *customer
	peer          *peer
	lastReceived  gateway.Time // time of the last counter received
	receivedTotal uint64       // that counter, in parts of a unit (counterScale)
	sentTotal     float64      // last counter sent, in units
	sends         bool         // counters go to the peer
	queued        bool         // in the peer's queue
}

// unsent returns the units that were not sent to the peer yet.
func (s *subscription) unsent() float64 { return s.customer.counters[s.peer.counter] - s.sentTotal }

// queueCounters has the customer's counters sent: after admissions here to all peers, after those of the row to the peers in other
// rows.
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
