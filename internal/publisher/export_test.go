package publisher

// TakeSnapshot makes the replica write a snapshot of its state to disk now, whatever the length of its log.
func (p *Publisher) TakeSnapshot() error { return p.replica.Snapshot() }
