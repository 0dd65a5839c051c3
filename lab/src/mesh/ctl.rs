//! Runs `dogwoodctl` on a mesh.

use {
    super::Mesh,
    crate::{LabError, binaries::binary},
    std::{fs, path::Path, process::Stdio},
    tokio::process::Command,
};

/// What `dogwoodctl` printed and how it ended.
#[derives::value]
#[derive(Eq)]
pub struct CtlOutput {
    /// Exit code; absent if a signal ended it.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Mesh {
    /// Runs `dogwoodctl` with the flags that reach this mesh, and `arguments`.
    pub async fn ctl(&self, arguments: &[&str]) -> Result<CtlOutput, LabError> {
        let platform = self.platform_address().to_string();
        let mut flags = vec!["--platform", &platform];
        let nodes = self.nodes_to_ask();
        if !nodes.is_empty() {
            flags.extend(["--nodes", &nodes]);
        }
        flags.extend(arguments);
        self.ctl_bare(&flags).await
    }

    /// Runs `dogwoodctl` with the operators' secret and `arguments` alone.
    pub async fn ctl_bare(&self, arguments: &[&str]) -> Result<CtlOutput, LabError> {
        let output = Command::new(binary("dogwoodctl")?)
            .arg("--operator-secret")
            .arg(self.operator_secret())
            .args(arguments)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .output()
            .await;
        let output = output.map_err(LabError::io("dogwoodctl"))?;
        Ok(CtlOutput {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Like [`Mesh::ctl`], but any exit code other than 0 is an error.
    pub async fn ctl_ok(&self, arguments: &[&str]) -> Result<String, LabError> {
        let output = self.ctl(arguments).await?;
        if output.code == Some(0) {
            return Ok(output.stdout);
        }
        Err(LabError::Ctl {
            arguments: arguments.join(" "),
            code: output.code,
            output: output.stdout + &output.stderr,
        })
    }

    /// Publishes a directory.
    pub async fn publish(&self, dir: &Path) -> Result<(), LabError> {
        let dir = dir.display().to_string();
        self.ctl_ok(&["publish", &dir]).await.map(|_| ())
    }

    /// Writes the files into a new directory and publishes it.
    pub async fn publish_files(&self, files: &[super::ConfFile]) -> Result<(), LabError> {
        let dir = self.new_dir("configuration")?;
        for file in files {
            let path = dir.join(&file.name);
            fs::write(&path, &file.text).map_err(LabError::io(path.display().to_string()))?;
        }
        self.publish(&dir).await
    }

    /// Creates a key for a workspace and returns it.
    pub async fn create_key(&self, workspace: &str) -> Result<String, LabError> {
        let arguments = [
            "--output",
            "json",
            "key",
            "create",
            "--workspace",
            workspace,
        ];
        let output = self.ctl_ok(&arguments).await?;
        let report: serde_json::Value = serde_json::from_str(&output).unwrap_or_default();
        let key = report.get("key").and_then(serde_json::Value::as_str);
        key.map(str::to_owned).ok_or(LabError::Ctl {
            arguments: arguments.join(" "),
            code: Some(0),
            output,
        })
    }

    /// Revokes a key.
    pub async fn revoke_key(&self, key: &str) -> Result<CtlOutput, LabError> {
        self.ctl(&["key", "revoke", "--key", key]).await
    }
}
