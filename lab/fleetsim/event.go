package fleetsim

// eventKind is what happens at an event.
type eventKind int

const (
	requestArrives  eventKind = iota // of a customer
	clientRetries                    // a rejected request
	timerFires                       // of a gateway
	gossipArrives                    // at a gateway
	attemptArrives                   // at a host
	hostFinishes                     // an attempt
	attemptTimesOut                  // at its gateway
	attemptCanceled                  // by its gateway, which learns it in a batch of its own, as on sockets
)

// event is one event of the schedule. Its kind says which fields are set.
type event struct {
	at       int64 // ns
	kind     eventKind
	gateway  int
	customer int
	host     int
	request  *request
	number   int    // of the attempt, or of the client's retry
	sender   int    // of a message
	body     []byte // of a message
	deadline int64  // of a client's retry, ns
}
