// Package poolrunner runs the parts of package pool: it exchanges datagrams between lease holders and the leading
// raft voter, and replicates the ledger among the voters.
package poolrunner

import (
	"crypto/hmac"
	"encoding/json"
	"errors"
	"fmt"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

const (
	maxDatagramBytes = 1024                    // with the signature
	signatureBytes   = consensus.SignatureSize // at the beginning of a datagram
)

var errForged = errors.New("not signed with the pool's key")

// Message is the content of a datagram. Exactly one field is set.
type Message struct {
	Report *pool.Report `json:"r,omitempty"` // of a lease holder
	Grant  *pool.Grant  `json:"g,omitempty"` // of the leading voter
	Leader *int         `json:"l,omitempty"` // of another voter: index of the leading one
}

// Encode returns the signed datagram of a message.
func Encode(key []byte, message *Message) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(text)+signatureBytes > maxDatagramBytes {
		return nil, errors.New("message too long")
	}
	return append(consensus.Sign(key, text), text...), nil
}

// Decode checks the signature of a datagram and returns its message.
func Decode(key, datagram []byte) (*Message, error) {
	if len(datagram) <= signatureBytes || len(datagram) > maxDatagramBytes {
		return nil, fmt.Errorf("a datagram of %d bytes", len(datagram))
	}
	signature := datagram[:signatureBytes]
	text := datagram[signatureBytes:]
	if !hmac.Equal(signature, consensus.Sign(key, text)) {
		return nil, errForged
	}
	message := &Message{}
	if err := json.Unmarshal(text, message); err != nil {
		return nil, err
	}
	fields := 0
	for _, set := range []bool{message.Report != nil, message.Grant != nil, message.Leader != nil} {
		if set {
			fields++
		}
	}
	if fields != 1 {
		return nil, errors.New("not exactly one field")
	}
	return message, nil
}
