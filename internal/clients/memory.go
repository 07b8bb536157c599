package clients

const (
	// minQueueShare is the number of bytes of commands that each connection may queue, however much the others have
	// queued, unless that would be more than half of the budget for all connections together.
	minQueueShare = 16 << 10
	// answerOverhead is the memory counted for a command in flight in addition to the text of its answer, in bytes.
	answerOverhead = 128
)

// MemoryUse returns the bytes of answers that wait for their clients, and of commands that are incomplete, wait to
// start or are in flight.
func (s *Server) MemoryUse() (answers, commands int) {
	return s.answerMemory.Used(), s.commandMemory.Used()
}

// queueShare returns how many bytes one connection may queue now: as much as is left free, at least minQueueShare and
// at most maxQueuedBytes.
func (s *Server) queueShare() int {
	least := min(minQueueShare, s.commandMemory.Limit()/(2*max(s.maxConns, 1)))
	return min(max(s.commandMemory.Free(), least), maxQueuedBytes)
}

// releaseAnswerMemory disconnects clients that accept none of their answers, those that have accepted nothing for the
// longest time first, while answers use half as much again as their budget. Beyond the budget each connection may have
// one answer that waits, which is too much if all of them do.
func (s *Server) releaseAnswerMemory() {
	for s.answerMemory.Used() > s.answerMemory.Limit()*3/2 {
		var longest *Conn
		for _, c := range s.stalled {
			if !c.closed && (longest == nil || c.stalledSince < longest.stalledSince) {
				longest = c
			}
		}
		if longest == nil {
			return
		}
		longest.disconnectSlowReader()
	}
}
