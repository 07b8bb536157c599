package clients

import "sync/atomic"

// minQueueShare is the number of bytes that each connection may queue, however much the others have queued.
const minQueueShare = 16 << 10

// commandMemory bounds the memory of the commands that all connections of a server have queued. A connection may queue
// as much as is left free, but at least minQueueShare and at most maxQueuedBytes. It is safe for concurrent use.
type commandMemory struct {
	limit int64 // bytes
	used  atomic.Int64
}

// share returns how many bytes one connection may queue now.
func (m *commandMemory) share() int {
	free := m.limit - m.used.Load()
	return int(min(max(free, minQueueShare), maxQueuedBytes))
}
