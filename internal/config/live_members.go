package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"ravensill/configsync"
)

// noMember is the value of members.own in a publisher, which is not a member.
const noMember = -1

var (
	errMemberIndex   = fmt.Errorf("a member index from 0 to %d wanted", configsync.MaxMembers-1)
	errMemberAddress = errors.New("a string wanted, the address and port that the gateway gossips at")
	errMemberGap     = errors.New("missing: member indices have no gaps")
)

// members holds the gossip addresses of all gateways by member index. Those of the document in force apply or, if it
// names no member, those of the gateway's file.
type members struct {
	own               int                    // member index of this gateway, or noMember
	reachable         bool                   // this gateway has a gossip address, or needs none
	fileCount         int                    // number of members by the file
	fileAddresses     []netip.AddrPort       // empty if the file has none
	documentAddresses []netip.AddrPort       // empty if the document names no member
	indexByAddress    map[netip.AddrPort]int // member index by address in documentAddresses
}

func newMembers(base *Config) members {
	return members{
		own:           base.Membership.Index,
		reachable:     !base.Membership.Gossip || base.PeerListen.IsValid(),
		fileCount:     base.Membership.Count,
		fileAddresses: base.Peers,
	}
}

// memberEdit is a set of changes to the members that is not yet in force.
type memberEdit struct {
	complete bool                   // the edit replaces all members of the document
	changes  map[int]netip.AddrPort // by member index; the zero address removes the member
	count    int                    // members of the document after the edit
}

func (m *members) newEdit(complete bool) memberEdit {
	edit := memberEdit{complete: complete, count: len(m.documentAddresses)}
	if complete {
		edit.count = 0
	}
	return edit
}

// inDocument reports whether the document that an edit changes has a member. A complete edit starts from no members.
func (m *members) inDocument(edit *memberEdit, index int) bool {
	return !edit.complete && index < len(m.documentAddresses)
}

// stageMember decodes the change of one member's address. text is the member index as the resource has it, which must
// be in its shortest decimal form.
func (l *Live) stageMember(edit *liveEdit, change *configsync.Change, text string) error {
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 || index >= configsync.MaxMembers || strconv.Itoa(index) != text {
		return &ResourceError{Resource: change.Resource, Err: errMemberIndex}
	}
	var address netip.AddrPort
	if !change.IsRemoval() {
		address, err = parseMemberAddress(change.Value)
		if err != nil {
			return &ResourceError{Resource: change.Resource, Err: err}
		}
	}
	exists := l.members.inDocument(&edit.members, index)
	if exists && change.IsRemoval() {
		edit.members.count--
	}
	if !exists && !change.IsRemoval() {
		edit.members.count++
	}
	if edit.members.changes == nil {
		edit.members.changes = map[int]netip.AddrPort{}
	}
	edit.members.changes[index] = address
	return nil
}

// parseMemberAddress parses the value of a member, a JSON string. It unmaps IPv4-mapped IPv6 addresses, so that an
// address has one form.
func parseMemberAddress(value []byte) (netip.AddrPort, error) {
	if !gjson.ValidBytes(value) {
		return netip.AddrPort{}, errMemberAddress
	}
	given := gjson.ParseBytes(value)
	if given.Type != gjson.String {
		return netip.AddrPort{}, errMemberAddress
	}
	address, err := netip.ParseAddrPort(given.Str)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, errMemberAddress
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

// checkMembers returns an error if the members after an edit are invalid, or if this gateway could not run with them.
// Its cost is proportional to the size of the edit.
func (l *Live) checkMembers(edit *memberEdit) error {
	m := &l.members
	if err := m.checkGaps(edit); err != nil {
		return err
	}
	if err := m.checkAddresses(edit); err != nil {
		return err
	}
	if m.own == noMember {
		return nil
	}
	count := edit.count
	if count == 0 {
		count = m.fileCount
	}
	if m.own >= count {
		return memberError(m.own, errOwnMemberMissing)
	}
	if l.file.fixedMemberCount && count != m.fileCount {
		return memberError(count-1, errFixedMemberCount)
	}
	if count > 1 && !m.reachable {
		return memberError(m.own, errNoPeerListen)
	}
	return nil
}

func memberError(index int, err error) error {
	return &ResourceError{Resource: configsync.MemberPrefix + configsync.Resource(strconv.Itoa(index)), Err: err}
}

// checkGaps returns an error unless the member indices after an edit are those from 0 to edit.count-1.
func (m *members) checkGaps(edit *memberEdit) error {
	for index, address := range edit.changes {
		if address.IsValid() && index >= edit.count {
			return memberError(m.firstGap(edit), errMemberGap)
		}
	}
	if edit.complete {
		return nil
	}
	for index := edit.count; index < len(m.documentAddresses); index++ {
		address, changed := edit.changes[index]
		removed := changed && !address.IsValid()
		if !removed {
			return memberError(m.firstGap(edit), errMemberGap)
		}
	}
	return nil
}

// firstGap returns the lowest member index without an address after an edit.
func (m *members) firstGap(edit *memberEdit) int {
	for index := 0; ; index++ {
		address, changed := edit.changes[index]
		if changed && !address.IsValid() || !changed && !m.inDocument(edit, index) {
			return index
		}
	}
}

// checkAddresses returns an error if two members would have the same address: gossip identifies the sender of a message
// by its address.
func (m *members) checkAddresses(edit *memberEdit) error {
	taken := make(map[netip.AddrPort]int, len(edit.changes))
	for index, address := range edit.changes {
		if !address.IsValid() {
			continue
		}
		other, used := taken[address]
		if !used && !edit.complete {
			other, used = m.unchangedOwner(edit, address)
		}
		if used && other != index {
			err := fmt.Errorf("%s is the address of member %d", address, min(index, other))
			return memberError(max(index, other), err)
		}
		taken[address] = index
	}
	return nil
}

// unchangedOwner returns the index of the member that has an address in the document and is not changed by an edit.
func (m *members) unchangedOwner(edit *memberEdit, address netip.AddrPort) (index int, found bool) {
	index, found = m.indexByAddress[address]
	if _, changed := edit.changes[index]; changed {
		return 0, false
	}
	return index, found
}

// inForce returns the number of members and their addresses by member index. There are no addresses if neither document
// nor file has any.
func (m *members) inForce() (count int, addresses []netip.AddrPort) {
	if len(m.documentAddresses) > 0 {
		return len(m.documentAddresses), m.documentAddresses
	}
	return m.fileCount, m.fileAddresses
}

// commit puts an edit in force and enters the difference in revision.
func (m *members) commit(edit *memberEdit, revision *Revision) {
	countBefore, addressesBefore := m.inForce()
	if edit.complete || edit.count == 0 || len(m.documentAddresses) == 0 {
		m.replaceDocument(edit)
		_, addresses := m.inForce()
		revision.Members = changedAddresses(addressesBefore, addresses)
	} else {
		revision.Members = m.updateDocument(edit)
	}
	revision.MemberCount, _ = m.inForce()
	if revision.MemberCount != countBefore {
		revision.Update.Members = revision.MemberCount
	}
}

// replaceDocument sets the document's members to those of an edit, and drops all others.
func (m *members) replaceDocument(edit *memberEdit) {
	m.documentAddresses = make([]netip.AddrPort, edit.count)
	m.indexByAddress = make(map[netip.AddrPort]int, edit.count)
	for index, address := range edit.changes {
		if address.IsValid() {
			m.documentAddresses[index] = address
			m.indexByAddress[address] = index
		}
	}
}

// updateDocument changes the document's members in place. It returns the new addresses by ascending member index.
func (m *members) updateDocument(edit *memberEdit) (changes []MemberChange) {
	for index := range edit.changes {
		if index < len(m.documentAddresses) {
			delete(m.indexByAddress, m.documentAddresses[index])
		}
	}
	m.documentAddresses = slices.Grow(m.documentAddresses, max(edit.count-len(m.documentAddresses), 0))[:edit.count]
	for index, address := range edit.changes {
		if !address.IsValid() {
			continue
		}
		if m.documentAddresses[index] != address {
			changes = append(changes, MemberChange{Index: index, Address: address})
		}
		m.documentAddresses[index] = address
		m.indexByAddress[address] = index
	}
	slices.SortFunc(changes, func(a, b MemberChange) int { return a.Index - b.Index })
	return changes
}

// changedAddresses returns the members whose address in after is new or differs from that in before.
func changedAddresses(before, after []netip.AddrPort) (changes []MemberChange) {
	for index, address := range after {
		if index >= len(before) || before[index] != address {
			changes = append(changes, MemberChange{Index: index, Address: address})
		}
	}
	return changes
}
