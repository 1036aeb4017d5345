package forward

import (
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// maxBufferedBytes limits the memory of all buffered request bodies, and
	// maxBufferedResponseBytes that of all buffered responses, their heads and stream events. With
	// 16 MB for request headers, and half as much again for garbage, they leave 50 MB of the
	// smallest VM, which has 184.
	maxBufferedBytes         = 40 << 20
	maxBufferedResponseBytes = 32 << 20
	// eventReservation is the memory that a stream reserves at a time for an event. Events
	// up to this size need no reservation.
	eventReservation = 64 << 10
)

// reserveBody reserves memory for a request body. It fails with kind queue-full if too much
// is reserved already.
func (f *Forwarder) reserveBody(n int64) error {
	if !f.requestBodies.Reserve(n) {
		return errkind.New(errkind.QueueFull, "no memory for the request body: buffered bodies already take %d bytes", f.requestBodies.Used())
	}
	return nil
}

// reserveBody reserves memory for the request body until releaseBody or the end of the request.
func (x *exchange) reserveBody(n int64) error {
	if err := x.f.reserveBody(n); err != nil {
		return err
	}
	x.reservedBytes += n
	return nil
}

func (x *exchange) releaseBody(n int64) {
	x.f.requestBodies.Release(n)
	x.reservedBytes -= n
}

// reserveResponse reserves memory for a response until the request ends. It fails with kind
// backend-lost, since the request has run, if too much is reserved already.
func (x *exchange) reserveResponse(n int64) error {
	if !x.f.responses.Reserve(n) {
		return errkind.New(errkind.BackendLost, "no memory for the response: buffered responses already take %d bytes", x.f.responses.Used())
	}
	x.reservedResponseBytes += n
	return nil
}

// reserveHead reserves memory for the head of a response as reserveResponse does. Unlike that,
// it does not serve stream events: the head is kept beside them.
func (x *exchange) reserveHead(n int64) error {
	if err := x.reserveResponse(n); err != nil {
		return err
	}
	x.reservedHeadBytes += n
	return nil
}

// releaseMemory releases what the request has reserved.
func (x *exchange) releaseMemory() {
	x.f.requestBodies.Release(x.reservedBytes)
	x.f.responses.Release(x.reservedResponseBytes)
	x.reservedBytes, x.reservedResponseBytes, x.reservedHeadBytes = 0, 0, 0
}

// reserveEvent reserves memory for a stream event of n bytes. The memory serves later events
// as well.
func (x *exchange) reserveEvent(n int) error {
	for int64(n) > x.reservedResponseBytes-x.reservedHeadBytes+eventReservation {
		if err := x.reserveResponse(eventReservation); err != nil {
			return err
		}
	}
	return nil
}
