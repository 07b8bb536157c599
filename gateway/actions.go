package gateway

import "time"

// Actions receives the decisions on a batch of events. It is called on the goroutine that makes the decisions.
type Actions interface {
	// StartAttempt sends a request to an endpoint. A timeout of 0 means that the attempt ends at the request's
	// deadline. An AttemptEnded event follows.
	StartAttempt(requestID string, host uint32, timeout time.Duration)
	// CancelAttempt cancels an attempt. An AttemptEnded event follows.
	CancelAttempt(requestID string, attempt int)
	// Reject ends a request with the answer that the client may safely repeat it after retryAfter.
	Reject(requestID string, retryAfter time.Duration)
	// Fail ends a request with an error. The request may have run.
	Fail(requestID string)
	// SendGossip sends a gossip message of at most gossip.MaxMessageBytes to the member with index peer.
	SendGossip(peer int, message []byte)
	// SendProbe asks an endpoint for its load. A ProbeEnded event follows.
	SendProbe(host uint32)
	// SetTimer sets the gateway's timer, which leads to a TimerFired event after the given time.
	SetTimer(after time.Duration)
	// WatchEndpoints requests the endpoint list and its changes. EndpointsListed events follow.
	WatchEndpoints()
	// LogNote logs a line of text for operators.
	LogNote(text string)
	// AddToCounter adds an amount, which may be 0 or negative, to a counter that all gateways share. A
	// CounterReplied event follows. A new counter starts at 0 and expires after lifetime.
	AddToCounter(name uint64, amount float64, lifetime time.Duration)
}
