"""The platform's key-value service and list of VMs, behind abstract base classes."""
