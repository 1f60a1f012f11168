// Package peerapi holds the generated code of the protocol that the daemons
// speak among themselves. The source is peer.proto.
package peerapi
