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
	greeting      = "lockloom hand-over\n" // the first bytes that each side sends
	maxFrameBytes = 8 << 20                // enough for an endpoint list of about ten thousand servers and their ids
)

var errNoGreeting = errors.New("the peer did not send the expected greeting")

func writeFrame(w io.Writer, message any) error {
	payload, err := json.Marshal(message)
	if err != nil {
		return err
	}
	if len(payload) > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", len(payload), maxFrameBytes)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	_, err = w.Write(append(frame, payload...))
	return err
}

// readFrame reads a frame and decodes it into message. The peer may send a wrong length, so memory is allocated as the
// bytes arrive, not by the length.
func readFrame(r io.Reader, message any) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, maxFrameBytes)
	}
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, r, size); err != nil {
		return fmt.Errorf("frame truncated after %d of %d bytes: %w", payload.Len(), size, err)
	}
	return json.Unmarshal(payload.Bytes(), message)
}
