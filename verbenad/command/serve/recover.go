package serve

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/verbenad/command/crash"
)

// recoverAdmin is the middleware of the admin server that turns a panic of a handler into status 500.
func (d *Daemon) recoverAdmin(c fiber.Ctx) error {
	var err error
	if p := crash.Catch(d.logger(), "serve admin", func() { err = c.Next() }); p != nil {
		return fiber.ErrInternalServerError
	}
	return err
}

// recoverUnary is the gRPC interceptor that turns a panic of a handler into codes.Internal.
func (d *Daemon) recoverUnary(ctx context.Context, m any, i *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	var reply any
	var err error
	if p := crash.Catch(d.logger(), i.FullMethod, func() { reply, err = handler(ctx, m) }); p != nil {
		return nil, status.Error(codes.Internal, p.Error())
	}
	return reply, err
}

// recoverStream is the gRPC interceptor that turns a panic of a stream handler into codes.Internal.
func (d *Daemon) recoverStream(server any, s grpc.ServerStream, i *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	var err error
	if p := crash.Catch(d.logger(), i.FullMethod, func() { err = handler(server, s) }); p != nil {
		return status.Error(codes.Internal, p.Error())
	}
	return err
}
