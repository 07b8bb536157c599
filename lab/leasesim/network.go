package leasesim

import "time"

// SetPartition sets which messages to and from a gateway are lost from now on, including those in flight.
func (s *Simulation) SetPartition(member int, partition Partition) { s.partitions[member] = partition }

// lost reports whether a partition loses a gateway's messages in a direction, which is ReportsLost for reports and
// GrantsLost for grants.
func (s *Simulation) lost(member int, direction Partition) bool {
	partition := s.partitions[member]
	return partition == Isolated || partition == direction
}

// send sends a message to or from a gateway, in a direction as in lost. It calls handle when the message arrives, and
// again for each duplicate that arrives.
func (s *Simulation) send(member int, direction Partition, handle func()) {
	for {
		if !s.lost(member, direction) && s.random.Float64() >= s.Faults.Loss {
			delay := s.randomDuration(s.Faults.MaxDelay + 1)
			s.schedule(s.Now+delay, func() {
				if !s.lost(member, direction) {
					handle()
				}
			})
		}
		if s.random.Float64() >= s.Faults.Duplicate {
			return
		}
	}
}

func (s *Simulation) schedule(at time.Duration, event func()) { s.messages.Add(int64(at), event) }

// deliverMessages handles the messages that have arrived by now.
func (s *Simulation) deliverMessages() {
	for _, deliver := range s.messages.Until(int64(s.Now)) {
		deliver()
	}
}
