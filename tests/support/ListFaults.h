#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_LISTFAULTS_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_LISTFAULTS_H

#include "support/Cluster.h"

namespace hemlockhaven::Testing {

//! Isolates each zone of a cluster with ListReadingClusterOptions in turn for
//! aDuration. The zone's endpoint records expire after 2 s and return 1.8 s
//! after the isolation ends, within the 2 s that the store allows.
void IsolateZonesInTurn(Cluster& aCluster, Duration aDuration);

//! Isolates each zone in turn. Meanwhile, the zone's endpoint records expire
//! and its daemons restart. Afterwards, the cross-zone links of leaders in the
//! other zones recover later than the endpoints do.
void IsolateZonesAndRestartDaemons(Cluster& aCluster);

}

#endif
