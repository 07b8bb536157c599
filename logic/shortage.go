package logic

import "time"

// shortageDuration is the time after which a shortage of memory or processor time is expected to be over: clients that
// cause one are disconnected or answered within a few times this.
const shortageDuration = 500 * time.Millisecond

// RetryAfterShortage returns the time after which a client should come back whose request was rejected without a
// decision, because the gateway is short of memory or processor time. It is 0 where rejections tell no time.
func (g *Gateway) RetryAfterShortage() time.Duration { return g.retryAdvice(shortageDuration) }

// retryAdvice returns the time that a rejection without a decision on its request tells: after, as far as clients wait
// before a retry, or 0 where rejections tell no time.
func (g *Gateway) retryAdvice(after time.Duration) time.Duration {
	if !g.limits.RetryAfter {
		return 0
	}
	return g.capRetryAfter(after)
}

// capRetryAfter limits a time to the longest one that clients wait before a retry.
func (g *Gateway) capRetryAfter(after time.Duration) time.Duration {
	if g.limits.MaxRetryAfter > 0 {
		return min(after, g.limits.MaxRetryAfter)
	}
	return after
}
