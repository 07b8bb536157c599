package fleetsim

import "ravensill/gateway"

// eventKind is the kind of an event.
type eventKind int

const (
	requestArrives  eventKind = iota // of a customer
	clientRetries                    // after a rejection
	timerFires                       // of a gateway
	gossipArrives                    // at a gateway
	attemptArrives                   // at a host
	hostFinishes                     // an attempt
	attemptTimesOut                  // at its gateway
	attemptCanceled                  // by its gateway, which handles the end in another batch, as with sockets
)

// event is one event of the schedule. Its kind determines which other fields are set.
type event struct {
	at       gateway.Time
	kind     eventKind
	gateway  int
	customer int
	host     int
	request  *request
	number   int          // of the attempt, or of the client's retry
	sender   int          // of a message
	body     []byte       // of a message
	deadline gateway.Time // of a client's retry
}
