package node

import "log"

// stop begins the end. Clients go on sending on what they have open, and a close that crosses a command leaves
// that unanswered. So what is open is served until shortly before the platform kills, which counts from the
// longest client timeout, and ends then: a kill that crosses a command would lose it. One that serves nobody yet ends at once.
func (n *Node) stop() {
	longest := int64(0)
	for _, class := range n.classes {
		longest = max(longest, class.Timeout)
	}
	n.stopAt = n.now() + int64(accepting)
	n.leaveAt = n.now() + min(longest, int64(mostLeave)) + int64(leave)
	if !n.serving {
		n.stopAt = n.now()
	}
	log.Printf("event=stopping clients=%d open=%d", n.clients.Count(), len(n.reqs))
}

// stopping takes the next step to the end: first no new clients, then none that is owed nothing, at last none at all. One
// that neither reads nor closes must not hold the program.
func (n *Node) stopping() {
	switch {
	case !n.stopped:
		n.stopped, n.stopAt = true, n.leaveAt
		n.clients.Unlisten()
		log.Printf("event=closed_to_new clients=%d open=%d", n.clients.Count(), len(n.reqs))
	case !n.retired:
		n.retired, n.stopAt = true, n.now()+int64(parting)
		n.clients.Retire()
	default:
		n.stopAt = 0
		log.Printf("event=cut_off clients=%d open=%d", n.clients.Count(), len(n.reqs))
		n.clients.End()
	}
}
