package peerserver

import (
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// maxAttachBytes bounds the part of the response body in one message.
const maxAttachBytes = 256 << 10

// Recordings finds the recorded responses of requests that run, or ran, on this
// daemon.
type Recordings interface {
	Find(id string) (*dispatch.Recording, error)
}

// Attach implements the Peer service: it streams the response of a request from an
// offset on. NotFound means that this daemon has no recording of the request: it
// never had one, or has dropped it.
func (s *Server) Attach(request *peerapi.AttachRequest, stream grpc.ServerStreamingServer[peerapi.AttachResponse]) error {
	recording, err := s.recordings.Find(request.GetRequestId())
	if err != nil {
		return status.Error(codes.NotFound, err.Error())
	}
	defer recording.Attach()()
	offset := int(request.GetOffset())
	for {
		part, err := recording.Next(stream.Context(), offset)
		if err != nil {
			return status.Error(attachCode(err), err.Error())
		}
		if len(part.Body) > maxAttachBytes {
			part.Body, part.Done = part.Body[:maxAttachBytes], false
		}
		offset += len(part.Body)
		if err := stream.Send(dispatch.PartToWire(part)); err != nil || part.Done {
			return err
		}
	}
}

// attachCode returns the status code of a failed read. No read fails with
// ErrResponseDropped at present.
func attachCode(err error) codes.Code {
	if errors.Is(err, dispatch.ErrResponseDropped) {
		return codes.NotFound
	}
	return codes.Unavailable
}
