//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates the fleet through the administration API.
    ///
    /// Exit codes: 0 success, 1 rejected, 2 invalid usage, 3 conflict with another change,
    /// 4 API unavailable or outcome unknown.
    cmd gooseberrydyke-ctl {
        /// Address of the administration API; 127.0.0.1:9500 by default [GOOSEBERRYDYKE_ADMIN]
        optional --admin admin: String
        /// Access token; preferably set through the variable [GOOSEBERRYDYKE_TOKEN]
        optional --token token: String
        /// Print JSON instead of tables
        optional --json

        /// Show the healthy slots of every service and its capacity floor
        cmd status {}
        /// List the latest accepted changes
        cmd audit {
            /// Maximum number of changes to list; 20 by default
            optional --most most: usize
        }
        /// List services, upstreams, routes or workspaces
        cmd list {
            required kind: String
        }
        /// Check, plan or apply the capacity planners' sheet
        cmd sheet {
            /// Report every fault of a sheet, without using the API
            cmd check {
                required file: PathBuf
            }
            /// Show the changes that a sheet would make
            cmd plan {
                required file: PathBuf
            }
            /// Change the configuration to match a sheet, in one atomic change
            cmd apply {
                required file: PathBuf
                /// The generation that the plan was made for; rejected if another one is in force
                required --generation generation: u64
                /// Allow more than a fifth of a service's upstreams to leave at once
                optional --large-share
            }
        }
        /// Send an upstream no new requests and let those in flight finish
        cmd drain {
            required service: String
            required upstream: String
            /// Allow more than a fifth of a service's upstreams to leave at once
            optional --large-share
        }
        /// Send requests to a draining upstream again
        cmd undrain {
            required service: String
            required upstream: String
        }
        /// Create or replace a service, upstream, route or workspace from a JSON file
        cmd put {
            required kind: String
            required file: PathBuf
            /// The service that an upstream belongs to
            optional --service service: String
            /// Reject the change if another generation is in force
            optional --generation generation: u64
        }
        /// Remove a service, upstream, route or workspace
        cmd remove {
            required kind: String
            required name: String
            /// The service that an upstream belongs to
            optional --service service: String
            /// Reject the change if another generation is in force
            optional --generation generation: u64
            /// Allow more than a fifth of a service's upstreams to leave at once
            optional --large-share
        }
        /// Issue or revoke access tokens
        cmd token {
            /// Issue a token to an operator, with the role viewer, operator or admin
            cmd issue {
                required operator: String
                required role: String
            }
            /// Revoke the token of an operator
            cmd revoke {
                required operator: String
            }
        }
        /// Explain what happened to a request, or to the requests of a workspace, from the log lines
        /// of many nodes and without the API
        cmd explain {
            /// Explain the requests of this workspace; all other arguments are files
            optional --workspace workspace: String
            /// Id of the request
            optional request: String
            /// Files with log lines in JSON; standard input by default
            repeated file: PathBuf
        }
        /// Show where a node would send a request now, and why, without sending it
        cmd where {
            /// Address of the node's operations endpoint
            required --node node: String
            /// Workspace for which the request would be sent
            optional --workspace workspace: String
            /// Method of the request
            required method: String
            /// URL of the request, with its host
            required url: String
        }
        /// Create a certificate authority for the fleet, as ca.pem and ca-key.pem in a folder
        cmd new-ca {
            required folder: PathBuf
        }
    }
}
