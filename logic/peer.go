package logic

import "ravensill/gateway"

// peer is another gateway that exchanges gossip with this one.
type peer struct {
	member            int       // its member index
	subscriptionIndex int       // index of its subscription in lastSubscriber.subscriptions
	lastSubscriber    *customer // the customer that was linked to it last
	counterIndex      int       // counters exchanged with it: ownCounter in the same row, else rowCounter
	sendTo            bool      // whether it is sent gossip

	lastReceived    gateway.Time // latest message received; 0: none
	firstReceived   gateway.Time // first message of its incarnation or after a long silence
	incarnationSeen gateway.Time // first message of its incarnation
	incarnation     uint64       // start time by its own clock, in Unix milliseconds; 0: unknown
	sequence        uint64       // sequence number of the latest message received

	heartbeatDue gateway.Time // time of the next heartbeat
	queue        counterQueue // subscriptions whose counters are to be sent
	sentMessages uint64       // sequence number of the latest message sent
	credit       float64      // number of messages that may be sent now
}

// subscription is the exchange of one customer's counters with one peer.
type subscription struct {
	customer      *customer
	peer          *peer
	lastReceived  gateway.Time // receipt of the latest counter; 0: none
	receivedTotal uint64       // latest counter received, in parts of a unit (counterScale)
	sentTotal     float64      // latest counter sent, in units
	sendTo        bool         // whether the customer's counters are sent to the peer
	queued        bool         // whether it is in peer.queue
}

// unsent returns the units by which the counter has grown since it was last sent to the peer.
func (s *subscription) unsent() float64 {
	return s.customer.counters[s.peer.counterIndex] - s.sentTotal
}

// queueCounters queues the customer's counters for its peers: for all of them if admittedHere, else only for those
// in other rows, whose counter also grows by admissions in this row. If target is not nil, they are queued for that
// peer alone.
func (c *customer) queueCounters(admittedHere bool, target *peer) {
	for i := range c.subscriptions {
		s := &c.subscriptions[i]
		wanted := s.peer == target
		if target == nil {
			wanted = admittedHere || s.peer.counterIndex == rowCounter
		}
		if wanted && s.sendTo && !s.queued {
			s.queued = true
			s.peer.queue = append(s.peer.queue, s)
		}
	}
}
