package consensus

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

const (
	announceInterval = 300 * time.Millisecond
	announcementTTL  = 5 * announceInterval
	changeTimeout    = 5 * time.Second // of one change of the membership

	// announcementCapacity bounds the announcements that wait to be handled. More are dropped.
	announcementCapacity = 64
)

// Announcement is the message of a replica with an empty log to the others. It repeats it until its log has an entry.
type Announcement struct {
	Index int    `json:"v"`
	ID    string `json:"i"`
}

// receivedAnnouncement is the latest announcement of a replica.
type receivedAnnouncement struct {
	id         string
	receivedAt time.Time
}

// membership bootstraps the group and replaces replicas that lost their disk. Its fields belong to the goroutine of
// run.
type membership struct {
	replica   *Replica
	latest    map[int]receivedAnnouncement // by replica index
	announced chan Announcement
	done      chan struct{}
	ended     chan struct{}
}

func newMembership(r *Replica) *membership {
	return &membership{
		replica:   r,
		latest:    map[int]receivedAnnouncement{},
		announced: make(chan Announcement, announcementCapacity),
		done:      make(chan struct{}),
		ended:     make(chan struct{}),
	}
}

// close ends the goroutine and waits for it. The library has to be shut down before, which ends a membership change in
// progress.
func (m *membership) close() {
	close(m.done)
	<-m.ended
}

// receive queues an announcement, from any goroutine. It drops one if the queue is full, since the sender repeats it.
func (m *membership) receive(a Announcement) {
	select {
	case m.announced <- a:
	default:
	}
}

func (m *membership) run() {
	defer close(m.ended)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-m.announced:
			m.handle(a)
		case <-ticker.C:
			m.tick()
		case <-m.done:
			return
		}
	}
}

func (m *membership) handle(a Announcement) {
	cfg := &m.replica.cfg
	known := a.Index >= 0 && a.Index < len(cfg.Addresses) && a.Index != cfg.Index
	if !known || ReplicaIndex(raft.ServerID(a.ID)) != a.Index {
		m.replica.dropped.Add(1)
		return
	}
	m.latest[a.Index] = receivedAnnouncement{a.ID, time.Now()}
	if m.replica.IsLeader() {
		m.replace(a)
	}
}

// tick announces this replica while its log is empty. The replica with index 0 bootstraps the group when all replicas
// have announced an empty log: no earlier group can have committed anything then.
func (m *membership) tick() {
	if m.replica.raft.LastIndex() > 0 {
		return
	}
	cfg := &m.replica.cfg
	own := Announcement{cfg.Index, string(m.replica.id)}
	transport := m.replica.transport
	for i := range cfg.Addresses {
		if i != cfg.Index {
			transport.tasks.Go(func() { transport.announce(i, own) })
		}
	}
	if cfg.Index == 0 {
		m.bootstrap()
	}
}

// bootstrap starts the group if all other replicas have announced themselves lately.
func (m *membership) bootstrap() {
	cfg := &m.replica.cfg
	servers := []raft.Server{server(m.replica.id)}
	for i := 1; i < len(cfg.Addresses); i++ {
		a, ok := m.latest[i]
		if ok && time.Since(a.receivedAt) < announcementTTL {
			servers = append(servers, server(raft.ServerID(a.id)))
		}
	}
	if len(servers) < len(cfg.Addresses) {
		return
	}
	err := m.replica.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if err != nil {
		slog.Warn("raft_cluster_bootstrap_failed", "cluster", cfg.ClusterName, "voters", len(servers), "error", err)
		return
	}
	slog.Info("raft_cluster_bootstrapped", "cluster", cfg.ClusterName, "voters", len(servers))
}

// server returns the voter with an id, whose address is the id itself: transport resolves it.
func server(id raft.ServerID) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)}
}

// replace removes the previous id of a replica that lost its disk from the membership, and adds its new id.
func (m *membership) replace(a Announcement) {
	future := m.replica.raft.GetConfiguration()
	if future.Error() != nil {
		return
	}
	previous := raft.ServerID("")
	for _, s := range future.Configuration().Servers {
		if string(s.ID) == a.ID {
			return
		}
		if ReplicaIndex(s.ID) == a.Index {
			previous = s.ID
		}
	}
	var err error
	if previous != "" {
		err = m.replica.raft.RemoveServer(previous, 0, changeTimeout).Error()
	}
	if err == nil {
		s := server(raft.ServerID(a.ID))
		err = m.replica.raft.AddVoter(s.ID, s.Address, 0, changeTimeout).Error()
	}
	if err != nil {
		slog.Warn("raft_voter_replacement_failed", "cluster", m.replica.cfg.ClusterName, "voter", a.Index, "error", err)
		return
	}
	slog.Info("raft_voter_replaced", "cluster", m.replica.cfg.ClusterName, "voter", a.Index)
}
