package gateway

import "time"

// Actions receives the decisions on a batch of events.
type Actions interface {
	// StartAttempt sends a request to an endpoint; timeout 0: until the deadline.
	StartAttempt(requestID string, host uint32, timeout time.Duration)
	// CancelAttempt cancels an attempt. An AttemptEnded event follows.
	CancelAttempt(requestID string, attempt int)
	// Reject ends a request. Its client may retry safely after so long.
	Reject(requestID string, retryAfter time.Duration)
	// Fail ends a request, which may have run.
	Fail(requestID string)
	// SendGossip sends a message to a peer, at most gossip.MaxMessageBytes.
	SendGossip(peer int, message []byte)
	// SendProbe asks an endpoint for its load.
	SendProbe(host uint32)
	// SetTimer sets the timer for a TimerFired event.
	SetTimer(after time.Duration)
	// WatchEndpoints asks for the endpoint list and its changes.
	WatchEndpoints()
	// LogNote logs a line for the operators.
	LogNote(text string)
	// AddToCounter adds an amount, which may be 0 or negative, to a number that all gateways share. A
	// CounterReplied event follows. A new number starts at 0 and expires after lifetime.
	AddToCounter(name uint64, amount float64, lifetime time.Duration)
}
