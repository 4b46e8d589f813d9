package serve

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/verbenad/command/crash"
)

// catchAdmin answers 500 to a request of an operator or a target whose serving panics.
func (d *Daemon) catchAdmin(c fiber.Ctx) error {
	var err error
	if p := crash.Catch(d.part(), "serve operators", func() { err = c.Next() }); p != nil {
		return fiber.ErrInternalServerError
	}
	return err
}

// catchCall ends a call of another process whose serving panics with an error.
func (d *Daemon) catchCall(ctx context.Context, m any, i *grpc.UnaryServerInfo, serve grpc.UnaryHandler) (any, error) {
	var reply any
	var err error
	if p := crash.Catch(d.part(), i.FullMethod, func() { reply, err = serve(ctx, m) }); p != nil {
		return nil, status.Error(codes.Internal, p.Error())
	}
	return reply, err
}

// catchStream ends a stream of another process whose serving panics with an error.
func (d *Daemon) catchStream(server any, s grpc.ServerStream, i *grpc.StreamServerInfo, serve grpc.StreamHandler) error {
	var err error
	if p := crash.Catch(d.part(), i.FullMethod, func() { err = serve(server, s) }); p != nil {
		return status.Error(codes.Internal, p.Error())
	}
	return err
}
