package consensus

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

const (
	announceInterval        = 300 * time.Millisecond // time between announcements of a replica
	announcementTTL         = 5 * announceInterval   // age up to which an announcement counts for bootstrapping
	membershipChangeTimeout = 5 * time.Second        // longest wait to enqueue the removal or addition of a voter

	// announcementQueueSize is the number of received announcements that can wait to be handled. More are dropped.
	announcementQueueSize = 64
)

// Announcement is the message by which a replica with an empty log tells the others its id. It is repeated until the
// log has an entry.
type Announcement struct {
	Index int    `json:"v"` // of the sender in Config.Addresses
	ID    string `json:"i"` // of the sender
}

// receivedAnnouncement is the latest announcement of a replica.
type receivedAnnouncement struct {
	id         string    // Announcement.ID
	receivedAt time.Time // when this replica received it
}

// membership bootstraps the cluster and replaces the ids of replicas that lost their disk. Only the goroutine of run
// uses latest.
type membership struct {
	replica       *Replica
	latest        map[int]receivedAnnouncement // the latest announcement of each other replica, by its index
	announcements chan Announcement            // received and not yet handled
	done          chan struct{}                // closed by close
	ended         chan struct{}                // closed when run returns
}

func newMembership(r *Replica) *membership {
	return &membership{
		replica:       r,
		latest:        map[int]receivedAnnouncement{},
		announcements: make(chan Announcement, announcementQueueSize),
		done:          make(chan struct{}),
		ended:         make(chan struct{}),
	}
}

// close ends the goroutine of run and waits for it. The library has to be shut down before, since that ends a change of
// the membership that run may be waiting for.
func (m *membership) close() {
	close(m.done)
	<-m.ended
}

// receive queues an announcement for run. If the queue is full, it drops the announcement, which the sender repeats. It
// may be called on any goroutine.
func (m *membership) receive(a Announcement) {
	select {
	case m.announcements <- a:
	default:
	}
}

// run handles announcements and sends its own until close.
func (m *membership) run() {
	defer close(m.ended)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-m.announcements:
			m.handleAnnouncement(a)
		case <-ticker.C:
			m.tick()
		case <-m.done:
			return
		}
	}
}

// handleAnnouncement records an announcement and, on the leader, replaces the sender's previous id. It drops an
// announcement whose index is invalid, that of this replica, or not the one in the id.
func (m *membership) handleAnnouncement(a Announcement) {
	cfg := &m.replica.cfg
	validIndex := a.Index >= 0 && a.Index < len(cfg.Addresses) && a.Index != cfg.Index
	if !validIndex || ReplicaIndex(raft.ServerID(a.ID)) != a.Index {
		m.replica.droppedAnnouncements.Add(1)
		return
	}
	m.latest[a.Index] = receivedAnnouncement{a.ID, time.Now()}
	if m.replica.IsLeader() {
		m.replaceVoter(a)
	}
}

// tick announces this replica to the others while its log is empty. The replica with index 0 bootstraps the cluster
// when all others have announced an empty log too: then no earlier cluster of these replicas can have committed
// anything.
func (m *membership) tick() {
	if m.replica.raft.LastIndex() > 0 {
		return
	}
	cfg := &m.replica.cfg
	own := Announcement{cfg.Index, string(m.replica.id)}
	transport := m.replica.transport
	for i := range cfg.Addresses {
		if i != cfg.Index {
			transport.goroutines.Go(func() { transport.sendAnnouncement(i, own) })
		}
	}
	if cfg.Index == 0 {
		m.bootstrap()
	}
}

// bootstrap starts the cluster with all replicas as voters, if all others have announced themselves within
// announcementTTL.
func (m *membership) bootstrap() {
	cfg := &m.replica.cfg
	servers := []raft.Server{raftServer(m.replica.id)}
	for i := 1; i < len(cfg.Addresses); i++ {
		a, ok := m.latest[i]
		if ok && time.Since(a.receivedAt) < announcementTTL {
			servers = append(servers, raftServer(raft.ServerID(a.id)))
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

// raftServer returns the library's description of the voter with an id. Its address is the id too, which the transport
// resolves to a TCP address.
func raftServer(id raft.ServerID) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)}
}

// replaceVoter removes the previous id of a replica that lost its disk from the membership and adds the announced one
// as a voter. It does nothing if the announced id is a member already. If it fails, the next announcement repeats it.
func (m *membership) replaceVoter(a Announcement) {
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
		err = m.replica.raft.RemoveServer(previous, 0, membershipChangeTimeout).Error()
	}
	if err == nil {
		s := raftServer(raft.ServerID(a.ID))
		err = m.replica.raft.AddVoter(s.ID, s.Address, 0, membershipChangeTimeout).Error()
	}
	if err != nil {
		slog.Warn("raft_voter_replacement_failed", "cluster", m.replica.cfg.ClusterName, "voter", a.Index, "error", err)
		return
	}
	slog.Info("raft_voter_replaced", "cluster", m.replica.cfg.ClusterName, "voter", a.Index)
}
