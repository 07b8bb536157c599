package leasesim

import "time"

// SetPartition sets which messages of a gateway are lost from now on.
func (s *Simulation) SetPartition(member int, partition Partition) { s.partitions[member] = partition }

// lost reports whether messages of a gateway in a direction, ReportsLost or GrantsLost, are lost.
func (s *Simulation) lost(member int, direction Partition) bool {
	partition := s.partitions[member]
	return partition == Isolated || partition == direction
}

// send sends a message to or from a gateway; handle is called when it arrives, once for each duplicate.
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

// deliverMessages handles the messages that have arrived.
func (s *Simulation) deliverMessages() {
	for _, deliver := range s.messages.Until(int64(s.Now)) {
		deliver()
	}
}
