package clients

// answerMemory bounds the memory of the answers that wait in a server for their clients, because an earlier command is
// unanswered or the client does not read them. A connection may always have one answer that waits, and the one that is
// to be written next, so that each client is served. Beyond that, a connection may use as much as is left free (the
// dynamic threshold of shared-memory switches): one connection gets half of the limit at most, two get a third each,
// and some of it is always free for others.
type answerMemory struct {
	limit int // bytes
	used  int // bytes of set answers that sockets have not accepted
}

// admits reports whether a connection with the given number of unsent bytes may have another answer of size bytes.
func (m *answerMemory) admits(unsent, size int) bool {
	return unsent == 0 || unsent+size <= m.limit-m.used
}
