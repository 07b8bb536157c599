// Package poolrunner is the I/O of package pool: datagrams between lease holders and the raft voter that leads, and the replicated log
// of the voters.
package poolrunner

import (
	"crypto/hmac"
	"encoding/json"
	"errors"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

const (
	maxDatagramBytes = 1024                    // of a datagram, its signature included
	signatureBytes   = consensus.SignatureSize // at its beginning
)

var errForged = errors.New("not signed with the pool's key")

// Message is the content of a datagram. Exactly one field is set.
type Message struct {
	Report *pool.Report `json:"r,omitempty"` // of a lease holder
	Grant  *pool.Grant  `json:"g,omitempty"` // of the voter that leads
	Leader *int         `json:"l,omitempty"` // of another voter: the index of the one to send reports to
}

// Encode returns the signed datagram of a message.
func Encode(key []byte, message *Message) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(text)+signatureBytes > maxDatagramBytes {
		return nil, errors.New("word too long")
	}
	return append(consensus.Sign(key, text), text...), nil
}

// Decode checks the signature of a datagram and returns its message.
func Decode(key, datagram []byte) (*Message, error) {
	if len(datagram) <= signatureBytes || len(datagram) > maxDatagramBytes {
		return nil, errors.New("not a datagram's size")
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
	parts := 0
	for _, set := range []bool{message.Report != nil, message.Grant != nil, message.Leader != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return nil, errors.New("not one part")
	}
	return message, nil
}
