package link

import (
	"context"

	"google.golang.org/grpc/metadata"
)

// packedKey is the metadata key by which a daemon says that it can read compressed configurations.
const packedKey = "verbena-packed"

// withPacked adds to a session's context that the daemon can read compressed configurations.
func withPacked(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, packedKey, "1")
}

// acceptsPacked reports whether the daemon of a session can read compressed configurations.
func acceptsPacked(ctx context.Context) bool {
	return len(metadata.ValueFromIncomingContext(ctx, packedKey)) > 0
}
