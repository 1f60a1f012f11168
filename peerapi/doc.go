// Package peerapi holds the generated code of the protocols that the daemons use
// among themselves. The sources are peer.proto and edge.proto.
package peerapi
