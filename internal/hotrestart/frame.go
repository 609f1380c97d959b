package hotrestart

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	greeting      = "lockloom hand-over\n" // before all else, both ways
	maxFrameBytes = 8 << 20                // an endpoint list of some ten thousand servers, and their ids
)

var errNoGreeting = errors.New("no greeting")

func writeFrame(to io.Writer, message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	if len(text) > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes", len(text))
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	_, err = to.Write(append(frame, text...))
	return err
}

// readFrame reads a frame into a message. The length is only a promise: memory is allocated as bytes come.
func readFrame(from io.Reader, message any) error {
	var length [4]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes", size)
	}
	var text bytes.Buffer
	if _, err := io.CopyN(&text, from, size); err != nil {
		return fmt.Errorf("frame cut after %d of %d bytes: %w", text.Len(), size, err)
	}
	return json.Unmarshal(text.Bytes(), message)
}
