package command

import (
	"context"
	"os/signal"
	"syscall"
)

// onReload calls act at each SIGHUP. act must not block.
func onReload(act func()) {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGHUP)
	context.AfterFunc(ctx, func() {
		// Register for the next signal before releasing this one, so that a
		// signal in between does not have its default effect.
		onReload(act)
		release()
		act()
	})
}
